package instance

import "time"

// spanOr is a time of the settings, or its default where none is named.
func spanOr(configured, standard time.Duration) time.Duration {
	if configured <= 0 {
		return standard
	}
	return configured
}
