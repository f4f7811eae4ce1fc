package fakes

import (
	"fmt"
	"net/http"

	"swiftbeam/internal/engine"
)

//go:generate ../../.tools/stringer -type=Oddity -output=oddity_string.go

// Oddity is a wrong way to answer a completion request.
type Oddity uint8

// Oddities. The first four come in place of a stream, the others after oddTokens tokens.
const (
	NoOddity Oddity = iota
	NotFound
	Redirect
	NoContent
	Page
	Cut
	CutInsideEvent
	EndBetweenEvents
	DoneWithoutFinish
	FinishWithoutDone
	FinishError
	ErrorEvent
	ErrorInEvent
	SecondChoice
	BrokenEvent
	TokenAfterFinish
	UnrequestedExport
	OddityCount
)

// oddTokens is the number of tokens that are sent before an oddity.
const oddTokens = 3

// replaceStream answers in place of a stream and reports whether it did.
func (o Oddity) replaceStream(w http.ResponseWriter) bool {
	switch o {
	case NotFound:
		http.Error(w, "404 page not found", http.StatusNotFound)
	case Redirect:
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
	case NoContent:
		w.WriteHeader(http.StatusNoContent)
	case Page:
		_, _ = fmt.Fprint(w, "<html>welcome</html>")
	default:
		return false
	}
	return true
}

// end ends a stream wrongly. With oddities that go on, the engine goes on as if nothing had happened.
func (o Oddity) end(w http.ResponseWriter) (goesOn bool) {
	wrong, stop := "wrong ", "stop"
	switch o {
	case CutInsideEvent:
		_, _ = fmt.Fprint(w, `data: {"choices":[{"te`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case EndBetweenEvents:
	case DoneWithoutFinish:
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	case FinishWithoutDone:
		writeChunk(w, engine.Choice{FinishReason: &stop})
	case FinishError:
		writeFinish(w, "error")
	case ErrorEvent:
		_, _ = fmt.Fprint(w, "event: error\ndata: {}\n\n")
		return true
	case ErrorInEvent:
		_, _ = fmt.Fprint(w, `data: {"error":{"message":"out of memory"}}`+"\n\n")
		return true
	case SecondChoice:
		writeChunk(w, engine.Choice{Index: 1, Text: &wrong})
		return true
	case BrokenEvent:
		_, _ = fmt.Fprint(w, "data: {\n\n")
		return true
	case TokenAfterFinish:
		writeChunk(w, engine.Choice{FinishReason: &stop})
		writeChunk(w, engine.Choice{Text: &wrong})
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	case UnrequestedExport:
		writeFinish(w, engine.Exported)
	default:
		panic(http.ErrAbortHandler)
	}
	return false
}
