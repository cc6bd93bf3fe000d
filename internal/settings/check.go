package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

// allowedSpan describes the durations that are valid.
const allowedSpan = "a duration of 0 or more"

// value is a setting and its text.
type value struct{ setting, text string }

// Check returns a finding for each setting that cannot be used.
func (s *Settings) Check() Errors {
	findings := s.checkNames()
	if s.ObjectStore != "" && s.Platform != "" {
		findings = append(findings, &Error{Setting: "platform", Found: s.Platform, Allowed: "nothing where objectStore is given"})
	}
	findings = append(findings, s.checkAddresses()...)
	findings = append(findings, s.checkSpans()...)
	findings = append(findings, s.checkSizes()...)
	if s.Grace < 0 {
		findings = append(findings, &Error{Setting: "grace", Found: s.Grace.Std().String(), Allowed: allowedSpan})
	}
	return findings
}

func (s *Settings) checkNames() Errors {
	var findings Errors
	for _, name := range []value{{"node", s.Node}, {"zone", s.Zone}, {"region", s.Region}} {
		if !namePattern.MatchString(name.text) {
			findings = append(findings, &Error{Setting: name.setting, Found: name.text, Allowed: "1 to 64 lower-case letters, digits, dots and dashes"})
		}
	}
	return findings
}

func (s *Settings) checkAddresses() Errors {
	var findings Errors
	for _, address := range append(s.requiredAddresses(), s.optionalAddresses()...) {
		if _, err := netip.ParseAddrPort(address.text); err != nil {
			findings = append(findings, &Error{Setting: address.setting, Found: address.text, Allowed: "an IP address and a port, such as 127.0.0.1:7001"})
		}
	}
	return findings
}

// requiredAddresses are the addresses that a node of this kind must have.
func (s *Settings) requiredAddresses() []value {
	if s.Idle {
		// A node that serves nobody listens nowhere.
		return nil
	}
	store := value{"platform", s.Platform}
	if s.ObjectStore != "" {
		store = value{"objectStore", s.ObjectStore}
	}
	return []value{{"peer", s.Peer}, {"http", s.HTTP}, store}
}

// optionalAddresses are those of the others that are given.
func (s *Settings) optionalAddresses() []value {
	var given []value
	for _, optional := range []value{
		{"readiness", s.Readiness}, {"metrics", s.Metrics}, {"dutyAPI", s.DutyAPI}, {"peerAdvertised", s.PeerAdvertised},
	} {
		if optional.text != "" {
			given = append(given, optional)
		}
	}
	for _, seed := range s.Seeds {
		given = append(given, value{"seeds", seed})
	}
	return given
}

func (s *Settings) checkSpans() Errors {
	var findings Errors
	for _, span := range []struct {
		setting string
		value   v1.Duration
	}{
		{"dutyLease", s.DutyLease}, {"drain", s.Drain}, {"catchUp", s.CatchUp}, {"keyBound", s.KeyBound},
		{"usageWindow", s.UsageWindow}, {"usageLate", s.UsageLate}, {"evacuationBound", s.EvacuationBound},
		{"quarantine", s.Quarantine},
	} {
		if span.value < 0 {
			findings = append(findings, &Error{Setting: span.setting, Found: span.value.Std().String(), Allowed: allowedSpan})
		}
	}
	return findings
}

func (s *Settings) checkSizes() Errors {
	var findings Errors
	if s.CPUShare < 0 || s.Cores < 0 {
		findings = append(findings, &Error{Setting: "cpuShare, cores", Found: fmt.Sprint(s.CPUShare, ", ", s.Cores), Allowed: "numbers of 0 or more"})
	}
	if s.WarmUpOverage < 0 || s.WarmUpSlack < 0 {
		findings = append(findings, &Error{Setting: "warmUpOverage, warmUpSlack", Found: fmt.Sprint(s.WarmUpOverage, ", ", s.WarmUpSlack), Allowed: "numbers of 0 or more"})
	}
	if !autoscale.Policy(s.ReplicaPolicy).Valid() {
		findings = append(findings, &Error{Setting: "replicaPolicy", Found: s.ReplicaPolicy, Allowed: "slots, work, or nothing"})
	}
	if s.MemoryMB < 0 {
		findings = append(findings, &Error{Setting: "memoryMB", Found: fmt.Sprint(s.MemoryMB), Allowed: "a number of megabytes, 0 or more"})
	}
	return findings
}
