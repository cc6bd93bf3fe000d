package wire

import "reflect"

// KindOf returns the name of a message's type, which metrics use as a label value.
func KindOf(message Message) string {
	kind := reflect.TypeOf(message)
	if kind == nil {
		return "none"
	}
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	return kind.Name()
}
