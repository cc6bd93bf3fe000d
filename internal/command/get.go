package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"k8s.io/apimachinery/pkg/labels"
	"sigs.k8s.io/yaml"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

// Output formats of get and status.
const (
	formatTable = "table"
	formatYAML  = "yaml"
	formatJSON  = "json"
)

func runGet(call *invocation) error {
	platform := call.flags.String("platform", defaultPlatform, "address of the object API")
	selector := call.flags.String("l", "", "label selector")
	format := call.flags.String("o", formatTable, "yaml, json or table")
	words, err := call.parse()
	if err != nil {
		return usageError(err)
	}
	if len(words) == 0 || len(words) > 2 {
		return &UsageError{Message: "expected KIND [NAME]"}
	}
	kind, err := parseKind(words[0])
	if err != nil {
		return err
	}
	parsed, err := labels.Parse(*selector)
	if err != nil {
		return &UsageError{Message: "selector: " + err.Error()}
	}
	writer, err := configwriter.NewBlocking(*platform)
	if err != nil {
		return err
	}
	defer writer.Close()
	set, _, err := writer.Read()
	if err != nil {
		return err
	}
	var found []v1.Object
	for _, key := range set.Keys() {
		object := set.Get(key)
		if key.Kind == kind && (len(words) == 1 || key.Name == words[1]) && parsed.Matches(labels.Set(object.Head().Metadata.Labels)) {
			found = append(found, object)
		}
	}
	if len(words) == 2 && len(found) == 0 {
		return &NotFoundError{Key: v1.Key{Kind: kind, Name: words[1]}}
	}
	return printObjects(call.stdout, *format, found)
}

// parseKind parses the name of a kind, in any case, singular or plural.
func parseKind(word string) (v1.Kind, error) {
	for _, kind := range v1.Kinds {
		name := strings.ToLower(string(kind))
		if lower := strings.ToLower(word); lower == name || lower == name+"s" {
			return kind, nil
		}
	}
	return "", &UsageError{Message: fmt.Sprintf("no kind %q; the kinds are %v", word, v1.Kinds)}
}

func printObjects(writer io.Writer, format string, objects []v1.Object) error {
	switch format {
	case formatJSON:
		data, err := json.MarshalIndent(objects, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(writer, string(data))
	case formatYAML:
		for i, object := range objects {
			data, err := yaml.Marshal(object)
			if err != nil {
				return err
			}
			if i > 0 {
				fmt.Fprintln(writer, "---")
			}
			fmt.Fprint(writer, string(data))
		}
	case formatTable:
		table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "KIND\tNAME\tLABELS")
		for _, object := range objects {
			head := object.Head()
			fmt.Fprintf(table, "%s\t%s\t%s\n", head.Kind, head.Metadata.Name, labels.Set(head.Metadata.Labels))
		}
		return table.Flush()
	default:
		return &UsageError{Message: fmt.Sprintf("-o %q: expected yaml, json or table", format)}
	}
	return nil
}
