package v1

// RoutingRule routes the requests of traffic groups to engines. Both are selected by label.
type RoutingRule struct {
	Header
	Spec RoutingRuleSpec `json:"spec"`
}

// RoutingRuleSpec is the specification of a RoutingRule.
type RoutingRuleSpec struct {
	// Groups selects traffic groups by label.
	Groups string `json:"groups"`
	// Engines selects engines by label. A group uses only engines of its model.
	Engines string `json:"engines"`
}

// SetDefaults implements Object.
func (r *RoutingRule) SetDefaults() {}

// Validate implements Object.
func (r *RoutingRule) Validate(report *Report) {
	report.Selector("spec.groups", r.Spec.Groups)
	report.Selector("spec.engines", r.Spec.Engines)
}
