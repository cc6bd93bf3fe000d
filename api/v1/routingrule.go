package v1

// RoutingRule joins traffic groups to engines, both by label.
type RoutingRule struct {
	Header
	Spec RoutingRuleSpec `json:"spec"`
}

// RoutingRuleSpec holds the two selectors.
type RoutingRuleSpec struct {
	// Groups selects traffic groups.
	Groups string `json:"groups"`
	// Engines selects engines; only those of the group's model are used.
	Engines string `json:"engines"`
}

// SetDefaults has nothing to fill in.
func (r *RoutingRule) SetDefaults() {}

// Validate checks that both selectors can be parsed.
func (r *RoutingRule) Validate(report *Report) {
	report.Selector("spec.groups", r.Spec.Groups)
	report.Selector("spec.engines", r.Spec.Engines)
}
