// Package repro makes stateful tests deterministic: importing it fixes the seed of package
// rapid. The flag -rapid.seed=N on the command line takes precedence.
//
//	import _ "swiftbeam/internal/repro"
package repro

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic("seeds: " + err.Error())
	}
}
