package setup

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestMistakes compares the problems in each testdata/*.json with the .golden file of the same name.
func TestMistakes(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got no settings files in testdata (error %v)", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, problems := Parse(text)
			var got strings.Builder
			for _, p := range problems {
				got.WriteString(p.String() + "\n")
			}
			golden := strings.TrimSuffix(file, ".json") + ".golden"
			if *update {
				if err := os.WriteFile(golden, []byte(got.String()), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if got.String() != string(want) {
				t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
			}
		})
	}
}

// FuzzParse checks that each problem reported for any input has a position, a message and a remedy.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"../../examples/barros/settings.json", "../../examples/minik/settings.json"} {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"listen": [], "operators": {}, "voters": 1e9, "lease": "x"}`))
	f.Add([]byte(`{"name": "a", "name": "b", /* open`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, problems := Parse(text)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.What == "" || p.Remedy == "" {
				t.Errorf("got problem %+v without a position, message or remedy", p)
			}
		}
	})
}
