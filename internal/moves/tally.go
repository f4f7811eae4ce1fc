package moves

import "math"

// Observation is the outcome of one request, or what is known of it when its response begins.
type Observation struct {
	Service string
	Version string
	Route   string
	Account string
	Failed  bool
	// FirstToken and TokenGap are in milliseconds; zero means not observed. They are only compared
	// with others of the same service and route, so a caller may use another unit for all of these.
	FirstToken float64
	TokenGap   float64
	// Tokens is the length of a complete response; zero means not observed.
	Tokens int
	// Counted is true if the request was observed before, when its response began.
	Counted bool
}

// Tally returns the tally of one observation.
func (o *Observation) Tally() Tally {
	t := Tally{Requests: 1}
	if o.Counted {
		t.Requests = 0
	}
	if o.Failed {
		t.Failed = 1
		return t
	}
	t.First.observe(o.FirstToken)
	t.Gap.observe(o.TokenGap)
	t.Length.observe(float64(o.Tokens))
	return t
}

// Tally counts the requests of one version on one route for one client account. It contains the
// distributions of times and lengths rather than counts of slow responses, since only the tallies of
// all daemons together tell what is slow.
type Tally struct {
	Requests uint64
	Failed   uint64
	First    Histogram
	Gap      Histogram
	Length   Histogram
}

// IsZero reports whether t is empty.
func (t *Tally) IsZero() bool {
	return t.Requests == 0 && t.Failed == 0 && len(t.First.Counts) == 0 && len(t.Gap.Counts) == 0 && len(t.Length.Counts) == 0
}

// Add adds o to t.
func (t *Tally) Add(o *Tally) {
	t.Requests += o.Requests
	t.Failed += o.Failed
	t.First.add(&o.First)
	t.Gap.add(&o.Gap)
	t.Length.add(&o.Length)
}

// Since returns what was added to t after the earlier total o. A total that decreased was reset in
// between and is returned unchanged.
func (t *Tally) Since(o *Tally) Tally {
	if t.Requests < o.Requests {
		return *t
	}
	return Tally{
		Requests: t.Requests - o.Requests, Failed: t.Failed - min(o.Failed, t.Failed),
		First: t.First.since(&o.First), Gap: t.Gap.since(&o.Gap), Length: t.Length.since(&o.Length),
	}
}

// Histogram counts values by buckets whose bounds grow by a factor of 2^(1/4). Histograms of several
// daemons are added up bucket by bucket.
type Histogram struct {
	// First is the number of the first bucket in Counts.
	First  int32
	Counts []uint64
}

// bucketsPerOctave is the number of buckets between a value and its double.
const bucketsPerOctave = 4

// observe adds a value; values that are not above zero or not finite are ignored.
func (h *Histogram) observe(v float64) {
	if v > 0 && !math.IsInf(v, 1) {
		h.grow(bucketOf(v), 1)
		h.Counts[bucketOf(v)-h.First]++
	}
}

// maxBucket is above the numbers of the buckets of all finite values, and below zero those of the smallest ones.
const maxBucket = 1 << 13

// Valid reports whether all buckets are those of finite values.
func (h *Histogram) Valid() bool {
	return len(h.Counts) <= 2*maxBucket && h.First >= -maxBucket && int(h.First)+len(h.Counts) <= maxBucket
}

func bucketOf(v float64) int32 { return int32(math.Floor(bucketsPerOctave * math.Log2(v))) }

// grow makes room for n buckets from bucket first on.
func (h *Histogram) grow(first int32, n int) {
	if len(h.Counts) == 0 {
		h.First, h.Counts = first, make([]uint64, n)
		return
	}
	if first < h.First {
		h.Counts = append(make([]uint64, h.First-first), h.Counts...)
		h.First = first
	}
	if missing := int(first-h.First) + n - len(h.Counts); missing > 0 {
		h.Counts = append(h.Counts, make([]uint64, missing)...)
	}
}

func (h *Histogram) add(o *Histogram) {
	if len(o.Counts) == 0 {
		return
	}
	h.grow(o.First, len(o.Counts))
	offset := o.First - h.First
	for i, n := range o.Counts {
		h.Counts[int(offset)+i] += n
	}
}

// at returns the count of a bucket.
func (h *Histogram) at(bucket int32) uint64 {
	if i := int(bucket) - int(h.First); i >= 0 && i < len(h.Counts) {
		return h.Counts[i]
	}
	return 0
}

// since returns the values that were added to h after o.
func (h *Histogram) since(o *Histogram) Histogram {
	var d Histogram
	for i, n := range h.Counts {
		if bucket := h.First + int32(i); n > o.at(bucket) {
			d.grow(bucket, 1)
			d.Counts[bucket-d.First] = n - o.at(bucket)
		}
	}
	return d
}

func (h *Histogram) total() uint64 {
	var n uint64
	for _, c := range h.Counts {
		n += c
	}
	return n
}

// quantile returns the bucket that contains a quantile of the values.
func (h *Histogram) quantile(q float64) int32 {
	rest := q * float64(h.total())
	for i, n := range h.Counts {
		if rest -= float64(n); rest < 0 {
			return h.First + int32(i)
		}
	}
	return h.First + int32(len(h.Counts)) - 1
}

// above counts the values in the buckets above a bucket.
func (h *Histogram) above(bucket int32) uint64 {
	var n uint64
	for i := max(int(bucket)+1-int(h.First), 0); i < len(h.Counts); i++ {
		n += h.Counts[i]
	}
	return n
}

// below counts the values in the buckets below a bucket.
func (h *Histogram) below(bucket int32) uint64 {
	var n uint64
	for i := range min(max(int(bucket)-int(h.First), 0), len(h.Counts)) {
		n += h.Counts[i]
	}
	return n
}
