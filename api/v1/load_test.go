package v1

import (
	"errors"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// LoadFolder must return all findings at once, each with file, line, field, found value and
// allowed values.
func TestLoadFolderFindings(t *testing.T) {
	_, err := LoadFolder("testdata/broken")
	var findings FieldErrors
	if !errors.As(err, &findings) {
		t.Fatalf("LoadFolder returned %v, want FieldErrors", err)
	}
	goldie.New(t).Assert(t, "broken", []byte(findings.Error()))
}

func TestExamplesAreValid(t *testing.T) {
	for _, folder := range []string{"../../examples/kotuku", "../../examples/cauce"} {
		set, err := LoadFolder(folder)
		if err != nil {
			t.Errorf("%s: %v", folder, err)
			continue
		}
		entries, err := set.Entries()
		if err != nil {
			t.Fatal(err)
		}
		again, err := FromEntries(entries)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(set, again); len(changes) > 0 {
			t.Errorf("%s: objects changed in the round trip through Entries: %v", folder, changes)
		}
	}
}

func TestLoadMissingFolder(t *testing.T) {
	_, err := LoadFolder("testdata/none")
	var read *ReadError
	if !errors.As(err, &read) {
		t.Errorf("LoadFolder returned %v, want a *ReadError", err)
	}
}

// Applying the changes of Diff to the first set must yield the second one.
func TestApplyDiff(t *testing.T) {
	draw := func(t *rapid.T, label string) *Set {
		set := NewSet()
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, label) {
			model := &Model{Header: Header{Kind: KindModel, Metadata: Metadata{Name: name}}}
			model.Spec.ContextLength = rapid.IntRange(1, 3).Draw(t, label+name)
			set = set.Merge(NewSet(model))
		}
		return set
	}
	rapid.Check(t, func(t *rapid.T) {
		before, after := draw(t, "before"), draw(t, "after")
		patched := before
		for _, change := range Diff(before, after) {
			if change.Kind == ChangeRemoved {
				patched = patched.Without(change.Key)
				continue
			}
			patched = patched.Merge(NewSet(after.Get(change.Key)))
		}
		if remaining := Diff(patched, after); len(remaining) > 0 {
			t.Fatalf("differences remain after applying the diff: %v", remaining)
		}
	})
}

// FuzzLoad checks that no input makes Load panic, and that every finding has a path and the
// allowed values.
func FuzzLoad(f *testing.F) {
	f.Add([]byte("apiVersion: pathtally.dev/v1\nkind: Model\nmetadata: {name: m}\nspec: {contextLength: 10}\n"))
	f.Add([]byte("kind: Engine\nspec: [1, 2]\n---\n- x\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Load("fuzz.yaml", data)
		var findings FieldErrors
		if errors.As(err, &findings) {
			for _, finding := range findings {
				if finding.Allowed == "" || finding.Path == "" {
					t.Errorf("finding without path or allowed values: %+v", finding)
				}
			}
			return
		}
		if err == nil {
			_ = set.Validate()
		}
	})
}
