package v1

// APIVersion is the only value of apiVersion that this package accepts.
const APIVersion = "pathtally.dev/v1"

// Kind names the type of an object.
type Kind string

// The declared kinds.
const (
	KindEngine        Kind = "Engine"
	KindModel         Kind = "Model"
	KindWeightVersion Kind = "WeightVersion"
	KindTrafficGroup  Kind = "TrafficGroup"
	KindRoutingRule   Kind = "RoutingRule"
	KindTrainer       Kind = "Trainer"
	KindLimit         Kind = "Limit"
)

// Kinds lists every declared kind in the order in which they are shown.
var Kinds = []Kind{KindEngine, KindModel, KindWeightVersion, KindTrafficGroup, KindRoutingRule, KindTrainer, KindLimit}

// Metadata names an object and carries the labels that selectors match.
type Metadata struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Header is the part that all kinds share.
type Header struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
}

// Head returns the shared part, so that every kind that embeds a Header
// satisfies Object.
func (h *Header) Head() *Header { return h }

// Key identifies the object inside a Set.
func (h *Header) Key() Key { return Key{Kind: h.Kind, Name: h.Metadata.Name} }

// Key is the kind and the name of an object.
type Key struct {
	Kind Kind
	Name string
}

// String gives "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is any declared kind.
type Object interface {
	Head() *Header
	// SetDefaults fills in the fields that the operator left out.
	SetDefaults()
	// Validate reports what is wrong with the object by itself; references
	// to other objects are checked by Set.Validate.
	Validate(report *Report)
}

// newObject returns an empty object of a kind, or nil for an unknown kind.
func newObject(kind Kind) Object {
	switch kind {
	case KindEngine:
		return &Engine{}
	case KindModel:
		return &Model{}
	case KindWeightVersion:
		return &WeightVersion{}
	case KindTrafficGroup:
		return &TrafficGroup{}
	case KindRoutingRule:
		return &RoutingRule{}
	case KindTrainer:
		return &Trainer{}
	case KindLimit:
		return &Limit{}
	}
	return nil
}
