package settings

import "testing"

func TestCapacity(t *testing.T) {
	for _, test := range []struct {
		share, cores float64
		want         uint32
	}{{0, 0, 0}, {0.192, 0, 192}, {0.8, 1, 800}, {0.5, 2, 1000}} {
		configured := Settings{CPUShare: test.share, Cores: test.cores}
		if got := configured.Capacity(); got != test.want {
			t.Errorf("capacity with CPUShare %v, Cores %v: %d, want %d", test.share, test.cores, got, test.want)
		}
	}
}
