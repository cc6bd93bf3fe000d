package v1

// APIVersion is the only value of apiVersion that this package accepts.
const APIVersion = "pathtally.dev/v1"

// Kind is the name of an object type.
type Kind string

// The kinds of objects.
const (
	KindEngine        Kind = "Engine"
	KindModel         Kind = "Model"
	KindWeightVersion Kind = "WeightVersion"
	KindTrafficGroup  Kind = "TrafficGroup"
	KindRoutingRule   Kind = "RoutingRule"
	KindTrainer       Kind = "Trainer"
	KindLimit         Kind = "Limit"
)

// Kinds lists all kinds in display order.
var Kinds = []Kind{KindEngine, KindModel, KindWeightVersion, KindTrafficGroup, KindRoutingRule, KindTrainer, KindLimit}

// Metadata holds the name of an object and the labels that selectors match.
type Metadata struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Header holds the fields that all kinds have in common.
type Header struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
}

// Head implements Object for all kinds, which embed a Header.
func (h *Header) Head() *Header { return h }

// Key returns the key of the object in a Set.
func (h *Header) Key() Key { return Key{Kind: h.Kind, Name: h.Metadata.Name} }

// Key identifies an object in a Set by kind and name.
type Key struct {
	Kind Kind
	Name string
}

// String returns "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a declared object of any kind.
type Object interface {
	// Head returns the object's header.
	Head() *Header
	// SetDefaults sets the default values of omitted fields.
	SetDefaults()
	// Validate reports invalid fields. It does not check references to other objects, as
	// Set.Validate does.
	Validate(report *Report)
}

// newObject returns an empty object of a kind, or nil if the kind is unknown.
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
