// Package jsonc reads JSON with comments into typed values and collects all problems in the text, each
// with its field, line, column and a remedy:
//
//	doc, problems := jsonc.Parse(text)
//	o := doc.Object()
//	name := o.Text("name", "a service name")
//	o.End()
//	problems = append(problems, doc.Problems()...)
//
// A field that was not read before End is reported as unknown.
package jsonc

import (
	"bytes"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"swiftbeam/pkg/clock"
)

// Problem is one error in a document.
type Problem struct {
	Field   string
	Line    int
	Column  int
	Message string // the error message
	Remedy  string
}

// String formats the problem on one line, as "line:column: field: message; remedy".
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%d:%d: %s: %s; %s", p.Line, p.Column, field, p.Message, p.Remedy)
}

// Document is a parsed text and the problems found in it.
type Document struct {
	text     []byte
	root     hujson.Value
	problems []Problem
}

// Parse parses text. When the syntax is invalid, it returns a nil document and the problem.
func Parse(text []byte) (*Document, []Problem) {
	d := &Document{text: text}
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, []Problem{syntaxProblem(err)}
	}
	d.root = root
	return d, nil
}

// Problems returns the problems found so far, sorted by position.
func (d *Document) Problems() []Problem {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i], d.problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return d.problems
}

// Object returns the root value as an object, like Node.Object.
func (d *Document) Object() *Object {
	return Node{doc: d, value: &d.root}.Object()
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+)`)

func syntaxProblem(err error) Problem {
	p := Problem{Line: 1, Column: 1, Message: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Line, p.Column = max(p.Line, 1), max(p.Column, 1)
	}
	return p
}

// Node is one value of a document. Path is the path of its field, such as "listen.peers".
type Node struct {
	doc   *Document
	value *hujson.Value
	Path  string
}

// Fail adds an error to the problems of the parsed JSON document, with the field, line and column of this
// value.
func (n Node) Fail(remedy, format string, args ...any) {
	before := n.doc.text[:min(n.value.StartOffset, len(n.doc.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	n.doc.problems = append(n.doc.problems, Problem{
		Field: n.Path, Line: line, Column: column, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// Raw returns the source text of the node, including comments.
func (n Node) Raw() string {
	return string(n.doc.text[n.value.StartOffset:n.value.EndOffset])
}

// Text returns the node as a string, or records a problem and returns an empty string. Expected
// describes the value in the remedy.
func (n Node) Text(expected string) string {
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		n.Fail("write "+expected+" as a string", "not a string")
		return ""
	}
	return lit.String()
}

// Object returns the node as an object, or records a problem and returns an empty object.
func (n Node) Object() *Object {
	o := &Object{Node: n, read: make(map[string]bool)}
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Fail("write an object in braces", "not an object")
		o.invalid = true
		return o
	}
	o.members = make(map[string]*hujson.Value, len(object.Members))
	for i := range object.Members {
		o.add(&object.Members[i])
	}
	return o
}

// Object reads the fields of a JSON object.
type Object struct {
	Node
	members map[string]*hujson.Value
	names   []*hujson.Value // in the order of the text, duplicates included
	read    map[string]bool
	invalid bool // not an object; missing fields are not reported
}

func (o *Object) add(m *hujson.ObjectMember) {
	name := m.Name.Value.(hujson.Literal).String()
	if _, exists := o.members[name]; exists {
		o.child(name, &m.Name).Fail("keep one of them", "field stands twice")
	}
	o.members[name] = &m.Value
	o.names = append(o.names, &m.Name)
}

func (o *Object) child(name string, v *hujson.Value) Node {
	path := name
	if o.Path != "" {
		path = o.Path + "." + name
	}
	return Node{doc: o.doc, value: v, Path: path}
}

// Names returns the names of all fields, in the order of the text.
func (o *Object) Names() []string {
	var names []string
	for _, v := range o.names {
		names = append(names, v.Value.(hujson.Literal).String())
	}
	return names
}

// Get returns the field called name and marks it as read. It reports false when the field is absent.
func (o *Object) Get(name string) (Node, bool) {
	o.read[name] = true
	v, ok := o.members[name]
	if !ok {
		return Node{}, false
	}
	return o.child(name, v), true
}

func (o *Object) required(name, expected string) (Node, bool) {
	n, ok := o.Get(name)
	if !ok && !o.invalid {
		missing := o.Node
		missing.Path = o.child(name, o.value).Path
		missing.Fail("add "+expected, "field is missing")
	}
	return n, ok
}

// Text returns a required string field that must not be empty. Expected describes the value in the
// remedy.
func (o *Object) Text(name, expected string) string {
	n, ok := o.required(name, expected)
	if !ok {
		return ""
	}
	before := len(o.doc.problems)
	s := n.Text(expected)
	if s == "" && len(o.doc.problems) == before {
		n.Fail("write "+expected, "value is empty")
	}
	return s
}

// TextOr returns a string field, or fallback when it is absent.
func (o *Object) TextOr(name, fallback string) string {
	n, ok := o.Get(name)
	if !ok {
		return fallback
	}
	return n.Text("a value")
}

// Int returns an integer from low to high, or fallback when the field is absent or invalid.
func (o *Object) Int(name string, fallback, low, high int64) int64 {
	n, ok := o.Get(name)
	if !ok {
		return fallback
	}
	lit, isLiteral := n.value.Value.(hujson.Literal)
	remedy := fmt.Sprintf("write a whole number from %d to %d", low, high)
	if !isLiteral || lit.Kind() != '0' {
		n.Fail(remedy, "not a number")
		return fallback
	}
	v, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		n.Fail(remedy, "%s is not a whole number", lit)
		return fallback
	}
	if v < low || v > high {
		n.Fail(remedy, "%d is out of range", v)
		return fallback
	}
	return v
}

// Float returns a number from low to high, or fallback when the field is absent or invalid.
func (o *Object) Float(name string, fallback, low, high float64) float64 {
	n, ok := o.Get(name)
	if !ok {
		return fallback
	}
	lit, isLiteral := n.value.Value.(hujson.Literal)
	v, err := strconv.ParseFloat(string(lit), 64)
	if !isLiteral || err != nil || v < low || v > high {
		n.Fail(fmt.Sprintf("write a number from %g to %g", low, high), "not a usable number")
		return fallback
	}
	return v
}

// Duration returns a duration written with its unit, such as "450ms", or fallback when the field is
// absent or invalid.
func (o *Object) Duration(name string, fallback clock.Duration) clock.Duration {
	n, ok := o.Get(name)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(n.Text("a duration"))
	if err != nil || d < time.Millisecond || d > 24*time.Hour {
		n.Fail(`write a duration from "1ms" to "24h"`, "not a usable duration")
		return fallback
	}
	return clock.FromStd(d)
}

// Bool returns a boolean field, or false when it is absent or invalid.
func (o *Object) Bool(name string) bool {
	n, ok := o.Get(name)
	if !ok {
		return false
	}
	lit, isLiteral := n.value.Value.(hujson.Literal)
	if !isLiteral || lit.Kind() != 't' && lit.Kind() != 'f' {
		n.Fail("write true or false", "not a boolean")
		return false
	}
	return lit.Bool()
}

// Choice returns the index in values of a string field, or 0 when it is absent or invalid. An absent
// field is a problem only when it is required.
func (o *Object) Choice(name string, required bool, values ...string) int {
	expected := "one of " + strings.Join(values, ", ")
	n, ok := o.Get(name)
	if !ok {
		if required {
			o.required(name, expected)
		}
		return 0
	}
	s := n.Text(expected)
	for i, v := range values {
		if s == v {
			return i
		}
	}
	n.Fail("write "+expected, "%q is not known", s)
	return 0
}

// List returns the elements of an array field, or none when it is absent or invalid.
func (o *Object) List(name string) []Node {
	n, ok := o.Get(name)
	if !ok {
		return nil
	}
	array, isArray := n.value.Value.(*hujson.Array)
	if !isArray {
		n.Fail("write a list in brackets", "not a list")
		return nil
	}
	nodes := make([]Node, len(array.Elements))
	for i := range array.Elements {
		nodes[i] = Node{doc: n.doc, value: &array.Elements[i], Path: fmt.Sprintf("%s[%d]", n.Path, i)}
	}
	return nodes
}

// Texts returns the elements of a field that is an array of strings.
func (o *Object) Texts(name, expected string) []string {
	var texts []string
	for _, n := range o.List(name) {
		texts = append(texts, n.Text(expected))
	}
	return texts
}

// End records a problem for each field that was not read.
func (o *Object) End() {
	for _, v := range o.names {
		name := v.Value.(hujson.Literal).String()
		if !o.read[name] {
			o.child(name, v).Fail("remove it or correct its name; known: "+o.knownFields(), "unknown field")
		}
	}
}

func (o *Object) knownFields() string {
	var names []string
	for name := range o.read {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
