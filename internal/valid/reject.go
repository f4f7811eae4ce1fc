package valid

import "swiftbeam/pkg/clock"

// maxRejected is the number of servers whose last rejection is remembered, for retention.
const (
	maxRejected = 256
	retention   = 2 * clock.Minute
)

// Rejections counts the invalid records of servers and reports which of them to log. The zero value is ready to
// use. It is not safe for concurrent use.
type Rejections struct {
	Count  int64
	lastAt map[string]clock.Instant
}

// Add counts an invalid record of the server with the given ID. It reports whether to log it: the first one of a
// server, and one that follows after retention without any.
func (j *Rejections) Add(now clock.Instant, id string) bool {
	j.Count++
	id = shorten(id)
	if j.lastAt == nil {
		j.lastAt = make(map[string]clock.Instant)
	}
	if last, ok := j.lastAt[id]; ok && now.Sub(last) <= retention {
		j.lastAt[id] = now
		return false
	}
	if len(j.lastAt) >= maxRejected {
		for other, last := range j.lastAt {
			if now.Sub(last) > retention {
				delete(j.lastAt, other)
			}
		}
		if len(j.lastAt) >= maxRejected {
			return false
		}
	}
	j.lastAt[id] = now
	return true
}
