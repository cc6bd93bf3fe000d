package enginemodel

import (
	"os"
	"time"

	"sigs.k8s.io/yaml"

	v1 "github.com/pathtally/pathtally/api/v1"
)

// Parameters describe one engine. All spans are of the engine's own time.
type Parameters struct {
	// Slots is the most sequences decoded together.
	Slots int `json:"slots"`
	// MaxWaiting bounds the queue before the slots.
	MaxWaiting int `json:"maxWaiting"`
	// StepBase is the duration of a decoding step of an empty batch.
	StepBase v1.Duration `json:"stepBase"`
	// StepPerSequence is added for each sequence in the batch.
	StepPerSequence v1.Duration `json:"stepPerSequence"`
	// StepPerThousandContext is added for each 1,000 tokens of context held.
	StepPerThousandContext v1.Duration `json:"stepPerThousandContext"`
	// PrefillPerToken is the cost of reading one prompt token.
	PrefillPerToken v1.Duration `json:"prefillPerToken"`
	// PrefixCacheTokens is the capacity of the prefix cache.
	PrefixCacheTokens int `json:"prefixCacheTokens"`
	// TransferPerToken is the cost of importing one token of KV cache.
	TransferPerToken v1.Duration `json:"transferPerToken"`
	// SwapPause is how long decoding stands still when weights change.
	SwapPause v1.Duration `json:"swapPause"`
	// WeightLoad is how long staging takes when the store is not the limit.
	WeightLoad v1.Duration `json:"weightLoad"`
}

// DefaultParameters are those of a mid-sized accelerator, scaled down so that
// a run on one machine is short.
func DefaultParameters() Parameters {
	return Parameters{
		Slots:                  16,
		MaxWaiting:             256,
		StepBase:               v1.Duration(2 * time.Millisecond),
		StepPerSequence:        v1.Duration(60 * time.Microsecond),
		StepPerThousandContext: v1.Duration(20 * time.Microsecond),
		PrefillPerToken:        v1.Duration(10 * time.Microsecond),
		PrefixCacheTokens:      1 << 16,
		TransferPerToken:       v1.Duration(2 * time.Microsecond),
		SwapPause:              v1.Duration(20 * time.Millisecond),
		WeightLoad:             v1.Duration(300 * time.Millisecond),
	}
}

// ParametersError is a parameter file that cannot be used.
type ParametersError struct {
	Path  string
	Cause error
}

// Error names the file and the cause.
func (e *ParametersError) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ParametersError) Unwrap() error { return e.Cause }

// LoadParameters reads a YAML file over the defaults.
func LoadParameters(path string) (Parameters, error) {
	parameters := DefaultParameters()
	data, err := os.ReadFile(path)
	if err != nil {
		return parameters, &ParametersError{Path: path, Cause: err}
	}
	if err := yaml.UnmarshalStrict(data, &parameters); err != nil {
		return parameters, &ParametersError{Path: path, Cause: err}
	}
	return parameters, nil
}
