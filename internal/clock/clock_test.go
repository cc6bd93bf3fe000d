package clock

import (
	"testing"
	"time"
)

func TestBootTimeAdvances(t *testing.T) {
	bootClock, err := NewBootTime()
	if err != nil {
		t.Fatal(err)
	}
	start, monotonicStart := bootClock(), time.Now()
	if off := start.Sub(monotonicStart.Round(0)).Abs(); off > time.Second {
		t.Errorf("the clock starts %v away from the wall clock", off)
	}
	for last := start; time.Since(monotonicStart) < 50*time.Millisecond; {
		now := bootClock()
		if now.Before(last) {
			t.Fatalf("the clock went back: %v follows %v", now, last)
		}
		last = now
	}
	if since := bootClock.Since(start); since < 50*time.Millisecond || since > 5*time.Second {
		t.Errorf("the clock advanced by %v in 50 ms", since)
	}
	if until := bootClock.Until(start.Add(time.Hour)); until > time.Hour || until < time.Hour-5*time.Second {
		t.Errorf("Until returned %v for one hour after the start", until)
	}
}
