package dutyapi

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// reportUsage reports the usage of a window and returns the HTTP status.
func reportUsage(t *testing.T, api *Server, holder string, token, window, count int) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+api.Address()+"/usage", strings.NewReader(fmt.Sprintf(`{"windowId":%d,"counts":{"t":%d}}`, window, count)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Pathtally-Duty-Holder", holder)
	request.Header.Set("Pathtally-Fencing-Token", fmt.Sprint(token))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

func TestViolations(t *testing.T) {
	for _, test := range []struct {
		name  string
		calls [][4]any
		want  string
	}{
		{"no violation", [][4]any{{"a", 1, 1, 5}, {"a", 2, 2, 5}, {"b", 3, 3, 5}, {"b", 3, 3, 5}}, ""},
		{"different reports of a window", [][4]any{{"a", 1, 1, 5}, {"a", 1, 1, 6}}, "window 1"},
		{"decreasing token", [][4]any{{"a", 2, 1, 5}, {"b", 1, 2, 5}}, "after token 2"},
		{"token of two holders", [][4]any{{"a", 2, 1, 5}, {"b", 2, 2, 5}}, "a and b both"},
		{"alternating holders", [][4]any{{"a", 1, 1, 5}, {"b", 2, 2, 5}, {"a", 3, 3, 5}}, "called alternately"},
	} {
		api, err := Start()
		if err != nil {
			t.Fatal(err)
		}
		for _, made := range test.calls {
			if status := reportUsage(t, api, made[0].(string), made[1].(int), made[2].(int), made[3].(int)); status != http.StatusOK {
				t.Errorf("%s: status %d, want 200", test.name, status)
			}
		}
		found := strings.Join(api.Violations(), "; ")
		if (test.want == "") != (found == "") || !strings.Contains(found, test.want) {
			t.Errorf("%s: unexpected violations %q", test.name, found)
		}
		api.Close()
	}
}
