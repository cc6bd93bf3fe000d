package v1

import (
	"fmt"
	"net/netip"

	"k8s.io/apimachinery/pkg/labels"
)

// Report collects the findings of validating one object.
type Report struct {
	object   Key
	findings FieldErrors
}

// Add records a finding at a field path such as "spec.address".
func (r *Report) Add(path string, found any, allowed string) {
	r.findings = append(r.findings, &FieldError{Object: r.object, Path: path, Found: fmt.Sprint(found), Allowed: allowed})
}

// Required records a finding if a string is empty.
func (r *Report) Required(path, value string) {
	if value == "" {
		r.Add(path, value, "a value; it must not be empty")
	}
}

// Positive records a finding if a number is not greater than zero.
func (r *Report) Positive(path string, value float64) {
	if value <= 0 {
		r.Add(path, value, "a number above 0")
	}
}

// Between records a finding if a number is outside a closed range.
func (r *Report) Between(path string, value, low, high float64) {
	if value < low || value > high {
		r.Add(path, value, fmt.Sprintf("a number from %g to %g", low, high))
	}
}

// Address records a finding if a string is not an IP address with a port.
func (r *Report) Address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.Add(path, value, "an IP address and a port, such as 127.0.0.1:9001")
	}
}

// Selector records a finding if a label selector is empty or cannot be parsed.
func (r *Report) Selector(path, value string) {
	if value == "" {
		r.Add(path, value, "a label selector, such as \"tier=gpu,zone in (a,b)\"")
		return
	}
	if _, err := labels.Parse(value); err != nil {
		r.Add(path, value, "a label selector: "+err.Error())
	}
}

// OneOf records a finding if a string is not one of the allowed values.
func (r *Report) OneOf(path, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	r.Add(path, value, fmt.Sprintf("one of %q", allowed))
}
