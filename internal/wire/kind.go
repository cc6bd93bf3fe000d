package wire

import "reflect"

// KindOf names the kind of a message, for metrics.
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
