package v1

import (
	"errors"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// TestBrokenFolder checks that everything wrong in a folder comes in one run,
// each with file, line, field, the value found and what is allowed.
func TestBrokenFolder(t *testing.T) {
	_, err := LoadFolder("testdata/broken")
	var findings FieldErrors
	if !errors.As(err, &findings) {
		t.Fatalf("got %v", err)
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
			t.Errorf("%s changes on its way through entries: %v", folder, changes)
		}
	}
}

func TestMissingFolderIsTyped(t *testing.T) {
	_, err := LoadFolder("testdata/none")
	var read *ReadError
	if !errors.As(err, &read) {
		t.Errorf("got %v", err)
	}
}

// TestDiffLeadsFromOneSetToTheOther applies a diff and compares.
func TestDiffLeadsFromOneSetToTheOther(t *testing.T) {
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
		if left := Diff(patched, after); len(left) > 0 {
			t.Fatalf("after the diff these still differ: %v", left)
		}
	})
}

// FuzzLoad checks that no text makes the loader panic, and that every finding
// says what is allowed.
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
					t.Errorf("a finding says too little: %+v", finding)
				}
			}
			return
		}
		if err == nil {
			_ = set.Validate()
		}
	})
}
