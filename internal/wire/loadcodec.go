package wire

import (
	"github.com/pathtally/pathtally/internal/wire/schema"
)

// In a large zone most messages are load reports, so they are encoded and decoded field by
// field, which is much faster than package pogs.

func encodeLoadReport(root schema.Frame, report *LoadReport) error {
	body, err := root.NewLoadReport()
	if err != nil {
		return &FrameError{Detail: "load report", Cause: err}
	}
	loads, err := body.NewLoads(int32(len(report.Loads)))
	if err != nil {
		return &FrameError{Detail: "load report", Cause: err}
	}
	for i, load := range report.Loads {
		entry := loads.At(i)
		if err := entry.SetEngine(load.Engine); err != nil {
			return &FrameError{Detail: "load report", Cause: err}
		}
		entry.SetRunning(load.Running)
		entry.SetWaiting(load.Waiting)
		entry.SetVersion(load.Version)
		entry.SetStaged(load.Staged)
		entry.SetFlags(load.Flags)
	}
	return nil
}

func decodeLoadReport(root schema.Frame) (Message, error) {
	body, err := root.LoadReport()
	if err != nil {
		return nil, &FrameError{Detail: "load report", Cause: err}
	}
	loads, err := body.Loads()
	if err != nil {
		return nil, &FrameError{Detail: "load report", Cause: err}
	}
	report := &LoadReport{Loads: make([]EngineLoad, loads.Len())}
	for i := range report.Loads {
		entry := loads.At(i)
		name, err := entry.Engine()
		if err != nil {
			return nil, &FrameError{Detail: "load report", Cause: err}
		}
		report.Loads[i] = EngineLoad{
			Engine: name, Running: entry.Running(), Waiting: entry.Waiting(), Version: entry.Version(), Staged: entry.Staged(), Flags: entry.Flags(),
		}
	}
	return report, nil
}
