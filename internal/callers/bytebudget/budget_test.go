package bytebudget

import "testing"

func TestReserveHasOthersGiveWay(t *testing.T) {
	budget := New(10)
	held := []int64{4, 4}
	budget.Relieve = func() bool {
		if len(held) == 0 {
			return false
		}
		budget.Release(held[0])
		held = held[1:]
		return true
	}
	for range held {
		if !budget.Reserve(4) {
			t.Fatal("a reservation within the limit failed")
		}
	}
	if !budget.Reserve(6) || len(held) != 1 {
		t.Errorf("%d holders left, want 1", len(held))
	}
	if budget.Reserve(11) || len(held) != 1 {
		t.Error("a reservation over the limit had others give way")
	}
	if !budget.Reserve(4) || budget.Reserve(1) {
		t.Error("want 10 bytes reserved, and no more")
	}
	if used := budget.Used(); used != 10 {
		t.Errorf("%d bytes reserved, want 10", used)
	}
}

func TestReserveGivesUpIfReliefDoesNotHelp(t *testing.T) {
	budget, reliefs := New(1), 0
	budget.Relieve = func() bool { reliefs++; return true }
	budget.Reserve(1)
	if budget.Reserve(1) || reliefs != maxReliefs {
		t.Errorf("%d reliefs, want %d and a failure", reliefs, maxReliefs)
	}
}
