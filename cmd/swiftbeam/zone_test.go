package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestZoneCommands guards against an order that is sent to another path than the operator's command says, and against a
// refusal that looks like a success.
func TestZoneCommands(t *testing.T) {
	asked := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.Method + " " + r.RequestURI + " by " + r.Header.Get("Operator")
		if strings.HasSuffix(r.URL.Path, "/nowhere") {
			http.Error(w, "no such zone", http.StatusBadRequest)
			return
		}
		_, _ = fmt.Fprint(w, `[{"zone":"porto-a","revision":7,"sinceMs":1790000000000,"by":"ana"}]`)
	}))
	defer server.Close()
	for _, test := range []struct {
		args, asked, output string
		code                int
	}{
		{"evacuate porto-a", "POST /Evacuations.Start/porto-a by ana", "", 0},
		{"return porto-a", "POST /Evacuations.Finish/porto-a by ana", "", 0},
		{"list", "GET /Evacuations.List by ana", "ZONE     SINCE                 BY   REVISION\nporto-a  2026-09-21T14:13:20Z  ana  7\n", 0},
		{"evacuate nowhere", "POST /Evacuations.Start/nowhere by ana", "", exitInvalid},
	} {
		c := zoneCommand()
		var output bytes.Buffer
		c.SetOut(&output)
		c.SetArgs(append(strings.Fields(test.args), "--by", "ana", "--address", strings.TrimPrefix(server.URL, "http://")))
		c.SilenceUsage, c.SilenceErrors = true, true
		code := 0
		if err := c.ExecuteContext(t.Context()); err != nil {
			code = report(err)
		}
		if asked != test.asked || output.String() != test.output || code != test.code {
			t.Errorf("%s: got %q with output %q and code %d, want %q with %q and %d", test.args, asked, output.String(), code, test.asked, test.output, test.code)
		}
	}
}
