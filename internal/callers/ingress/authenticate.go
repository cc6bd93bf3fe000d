package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const (
	// doubtfulAge is from which age on of its configuration a node does not say
	// that a key is unknown: the key may have been declared since. A node that is
	// up to date hears so every 0.75 s at the latest (package watchcache), and
	// reads the store itself after 1.2 s without news.
	doubtfulAge = 2 * time.Second
	// doubtfulWait is when to come back with such a key; other nodes may know it
	// at once.
	doubtfulWait = 100 * time.Millisecond
)

// errUnproven means that the node cannot tell whether a key still holds: it has
// not known for too long whether its configuration is the newest.
var errUnproven = merry.Sentinel("the configuration is too old to tell whose key it is")

// authenticate tells whose request it is by its key, and takes the key out of the
// headers: nothing behind this point sees it. No tenant is named on public routes.
// Where no tenants are declared, headers are left as they came.
func (h *Handler) authenticate(configuration *directory.Configuration, header http.Header, public bool) (tenant string, err error) {
	if configuration.Tenants == nil {
		return "", nil
	}
	defer h.config.Headers.WithholdKey(header)
	if public {
		return "", nil
	}
	key, err := h.config.Headers.Key(header)
	if err != nil {
		return "", err
	}
	age := h.config.ConfigurationAge()
	if bound := h.config.KeyBound(); bound > 0 && age > bound {
		return "", errUnproven
	}
	holder := configuration.Tenants.Lookup(key)
	switch {
	case holder != nil:
		return holder.Name, nil
	case age > doubtfulAge:
		return "", errUnproven
	}
	return "", tenancy.ErrUnknownKey
}

// refuseCaller answers a request whose caller is not known. Nothing of it has
// been sent on.
func (h *Handler) refuseCaller(writer http.ResponseWriter, id string, err error) {
	h.config.Metrics.refusedKeys.WithLabelValues(keyReason(err)).Inc()
	if errors.Is(err, errUnproven) {
		h.refuse(writer, id, http.StatusServiceUnavailable, err.Error(), doubtfulWait)
		return
	}
	h.refuse(writer, id, http.StatusUnauthorized, err.Error(), 0)
}

// keyReasons name the reasons in the metrics.
var keyReasons = []struct {
	err  error
	name string
}{
	{tenancy.ErrNoKey, "none"}, {tenancy.ErrSeveralKeys, "several"}, {tenancy.ErrOtherScheme, "scheme"}, {tenancy.ErrMalformedKey, "malformed"},
	{tenancy.ErrUnknownKey, "unknown"}, {errUnproven, "unproven"},
}

func keyReason(err error) string {
	for _, reason := range keyReasons {
		if errors.Is(err, reason.err) {
			return reason.name
		}
	}
	return "other"
}
