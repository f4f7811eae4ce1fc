// Package repro makes property tests reproducible: importing it sets a fixed default seed for package
// rapid. The flag -rapid.seed=N on the command line takes precedence.
//
//	import _ "swiftbeam/internal/repro"
package repro

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag -rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic("seeds: " + err.Error())
	}
}
