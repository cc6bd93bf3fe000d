package settings

import (
	"fmt"
	"net/netip"
	"regexp"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
)

// namePattern matches the valid names of nodes, zones and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

const allowedDuration = "a duration of 0 or more"

// namedValue is the name of a setting and its value.
type namedValue struct{ setting, value string }

// Check returns an error for each invalid setting.
func (s *Settings) Check() Errors {
	errs := s.checkNames()
	if s.ObjectStore != "" && s.Platform != "" {
		errs = append(errs, &Error{Setting: "platform", Found: s.Platform, Allowed: "nothing where objectStore is given"})
	}
	errs = append(errs, s.checkAddresses()...)
	errs = append(errs, s.checkDurations()...)
	errs = append(errs, s.checkNumbers()...)
	if s.Grace < 0 {
		errs = append(errs, &Error{Setting: "grace", Found: s.Grace.Std().String(), Allowed: allowedDuration})
	}
	return errs
}

func (s *Settings) checkNames() Errors {
	var errs Errors
	for _, name := range []namedValue{{"node", s.Node}, {"zone", s.Zone}, {"region", s.Region}} {
		if !namePattern.MatchString(name.value) {
			errs = append(errs, &Error{Setting: name.setting, Found: name.value, Allowed: "1 to 64 lower-case letters, digits, dots and dashes"})
		}
	}
	return errs
}

func (s *Settings) checkAddresses() Errors {
	var errs Errors
	for _, address := range append(s.requiredAddresses(), s.optionalAddresses()...) {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			errs = append(errs, &Error{Setting: address.setting, Found: address.value, Allowed: "an IP address and a port, such as 127.0.0.1:7001"})
		}
	}
	return errs
}

// requiredAddresses returns the addresses that must be set for this kind of node.
func (s *Settings) requiredAddresses() []namedValue {
	if s.Idle {
		// An idle node does not listen.
		return nil
	}
	store := namedValue{"platform", s.Platform}
	if s.ObjectStore != "" {
		store = namedValue{"objectStore", s.ObjectStore}
	}
	return []namedValue{{"peer", s.Peer}, {"http", s.HTTP}, store}
}

// optionalAddresses returns the optional addresses that are set.
func (s *Settings) optionalAddresses() []namedValue {
	var given []namedValue
	for _, optional := range []namedValue{
		{"readiness", s.Readiness}, {"metrics", s.Metrics}, {"dutyAPI", s.DutyAPI}, {"peerAdvertised", s.PeerAdvertised},
	} {
		if optional.value != "" {
			given = append(given, optional)
		}
	}
	for _, seed := range s.Seeds {
		given = append(given, namedValue{"seeds", seed})
	}
	return given
}

func (s *Settings) checkDurations() Errors {
	var errs Errors
	for _, duration := range []struct {
		setting string
		value   v1.Duration
	}{
		{"dutyLease", s.DutyLease}, {"drain", s.Drain}, {"catchUp", s.CatchUp}, {"keyBound", s.KeyBound},
		{"usageWindow", s.UsageWindow}, {"usageLate", s.UsageLate}, {"evacuationBound", s.EvacuationBound},
		{"quarantine", s.Quarantine}, {"jobRetention", s.JobRetention},
	} {
		if duration.value < 0 {
			errs = append(errs, &Error{Setting: duration.setting, Found: duration.value.Std().String(), Allowed: allowedDuration})
		}
	}
	return errs
}

func (s *Settings) checkNumbers() Errors {
	var errs Errors
	if s.CPUShare < 0 || s.Cores < 0 {
		errs = append(errs, &Error{Setting: "cpuShare, cores", Found: fmt.Sprint(s.CPUShare, ", ", s.Cores), Allowed: "numbers of 0 or more"})
	}
	if s.WarmUpOverage < 0 || s.WarmUpSlack < 0 {
		errs = append(errs, &Error{Setting: "warmUpOverage, warmUpSlack", Found: fmt.Sprint(s.WarmUpOverage, ", ", s.WarmUpSlack), Allowed: "numbers of 0 or more"})
	}
	if !autoscale.Policy(s.ReplicaPolicy).Valid() {
		errs = append(errs, &Error{Setting: "replicaPolicy", Found: s.ReplicaPolicy, Allowed: "slots, work, or nothing"})
	}
	if s.MemoryMB < 0 {
		errs = append(errs, &Error{Setting: "memoryMB", Found: fmt.Sprint(s.MemoryMB), Allowed: "a number of megabytes, 0 or more"})
	}
	return errs
}
