package clock

import (
	"testing"
	"time"
)

func TestBootGoesOnSteadily(t *testing.T) {
	counting, err := NewBootTime()
	if err != nil {
		t.Fatal(err)
	}
	began, steady := counting(), time.Now()
	if off := began.Sub(steady.Round(0)).Abs(); off > time.Second {
		t.Errorf("it begins %v from the time of day", off)
	}
	for last := began; time.Since(steady) < 50*time.Millisecond; {
		now := counting()
		if now.Before(last) {
			t.Fatalf("%v comes after %v", now, last)
		}
		last = now
	}
	if since := counting.Since(began); since < 50*time.Millisecond || since > 5*time.Second {
		t.Errorf("%v have passed in 50 ms", since)
	}
	if until := counting.Until(began.Add(time.Hour)); until > time.Hour || until < time.Hour-5*time.Second {
		t.Errorf("an hour from the start is %v away", until)
	}
}
