// Package jsonc reads JSON with comments into typed values and reports every mistake at once,
// each with its field, line, column and a remedy:
//
//	doc, problems := jsonc.Parse(text)
//	o := doc.Object()
//	name := o.Text("name", "a service name")
//	o.End()
//	problems = append(problems, doc.Problems()...)
//
// A field that nothing read before End is an unknown field and a mistake.
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

// Problem is one mistake in a document.
type Problem struct {
	Field  string
	Line   int
	Column int
	What   string
	Remedy string
}

// String formats the problem on one line.
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%d:%d: %s: %s; %s", p.Line, p.Column, field, p.What, p.Remedy)
}

// Document is a parsed text and the mistakes found in it.
type Document struct {
	text     []byte
	root     hujson.Value
	problems []Problem
}

// Parse reads text. When it is no JSON at all, the document is nil.
func Parse(text []byte) (*Document, []Problem) {
	d := &Document{text: text}
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, []Problem{syntaxProblem(err)}
	}
	d.root = root
	return d, nil
}

// Problems returns the mistakes found so far in the order of the text.
func (d *Document) Problems() []Problem {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i], d.problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return d.problems
}

// Object returns the root of the document as an object.
func (d *Document) Object() *Object {
	return Node{doc: d, value: &d.root}.Object()
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+)`)

func syntaxProblem(err error) Problem {
	p := Problem{Line: 1, Column: 1, What: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Line, p.Column = max(p.Line, 1), max(p.Column, 1)
	}
	return p
}

// Node is one value of a document with its path.
type Node struct {
	doc   *Document
	value *hujson.Value
	Path  string
}

// Fail records a mistake at the node.
func (n Node) Fail(remedy, format string, args ...any) {
	before := n.doc.text[:min(n.value.StartOffset, len(n.doc.text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	n.doc.problems = append(n.doc.problems, Problem{
		Field: n.Path, Line: line, Column: column, What: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// Raw returns the text of the node, comments included.
func (n Node) Raw() string {
	return string(n.doc.text[n.value.StartOffset:n.value.EndOffset])
}

// Text returns the node as a string.
func (n Node) Text(want string) string {
	lit, ok := n.value.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		n.Fail("write "+want+" as a string", "not a string")
		return ""
	}
	return lit.String()
}

// Object returns the node as an object; a mistake gives an empty one.
func (n Node) Object() *Object {
	o := &Object{Node: n, used: make(map[string]bool)}
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Fail("write an object in braces", "not an object")
		o.broken = true
		return o
	}
	o.members = make(map[string]*hujson.Value, len(object.Members))
	for i := range object.Members {
		o.add(&object.Members[i])
	}
	return o
}

// Object reads the fields of an object.
type Object struct {
	Node
	members map[string]*hujson.Value
	names   []*hujson.Value
	used    map[string]bool
	broken  bool
}

func (o *Object) add(m *hujson.ObjectMember) {
	name := m.Name.Value.(hujson.Literal).String()
	if _, twice := o.members[name]; twice {
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

// Names returns the names of all fields in the order of the text.
func (o *Object) Names() []string {
	var names []string
	for _, v := range o.names {
		names = append(names, v.Value.(hujson.Literal).String())
	}
	return names
}

// Get returns the field called name, if it is there.
func (o *Object) Get(name string) (Node, bool) {
	o.used[name] = true
	v, ok := o.members[name]
	if !ok {
		return Node{}, false
	}
	return o.child(name, v), true
}

func (o *Object) need(name, want string) (Node, bool) {
	n, ok := o.Get(name)
	if !ok && !o.broken {
		missing := o.Node
		missing.Path = o.child(name, o.value).Path
		missing.Fail("add "+want, "field is missing")
	}
	return n, ok
}

// Text returns a string field that must be there and not be empty.
func (o *Object) Text(name, want string) string {
	n, ok := o.need(name, want)
	if !ok {
		return ""
	}
	before := len(o.doc.problems)
	s := n.Text(want)
	if s == "" && len(o.doc.problems) == before {
		n.Fail("write "+want, "value is empty")
	}
	return s
}

// TextOr returns a string field or other when it is absent.
func (o *Object) TextOr(name, other string) string {
	n, ok := o.Get(name)
	if !ok {
		return other
	}
	return n.Text("a value")
}

// Int returns a whole number between low and high, or other when the field is absent.
func (o *Object) Int(name string, other, low, high int64) int64 {
	n, ok := o.Get(name)
	if !ok {
		return other
	}
	lit, isLiteral := n.value.Value.(hujson.Literal)
	want := fmt.Sprintf("write a whole number from %d to %d", low, high)
	if !isLiteral || lit.Kind() != '0' {
		n.Fail(want, "not a number")
		return other
	}
	v, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		n.Fail(want, "%s is not a whole number", lit)
		return other
	}
	if v < low || v > high {
		n.Fail(want, "%d is out of range", v)
		return other
	}
	return v
}

// Float returns a number between low and high that may have decimals, or other when the field
// is absent.
func (o *Object) Float(name string, other, low, high float64) float64 {
	n, ok := o.Get(name)
	if !ok {
		return other
	}
	lit, isLiteral := n.value.Value.(hujson.Literal)
	v, err := strconv.ParseFloat(string(lit), 64)
	if !isLiteral || err != nil || v < low || v > high {
		n.Fail(fmt.Sprintf("write a number from %g to %g", low, high), "not a usable number")
		return other
	}
	return v
}

// Duration returns a span written with its unit, such as "450ms", or other when the field is
// absent.
func (o *Object) Duration(name string, other clock.Duration) clock.Duration {
	n, ok := o.Get(name)
	if !ok {
		return other
	}
	d, err := time.ParseDuration(n.Text("a duration"))
	if err != nil || d < time.Millisecond || d > 24*time.Hour {
		n.Fail(`write a duration from "1ms" to "24h"`, "not a usable duration")
		return other
	}
	return clock.FromStd(d)
}

// Bool returns a boolean field, or false when it is absent.
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

// Choice returns the index of a string field among words, or 0 when it is absent and optional.
func (o *Object) Choice(name string, required bool, words ...string) int {
	want := "one of " + strings.Join(words, ", ")
	n, ok := o.Get(name)
	if !ok {
		if required {
			o.need(name, want)
		}
		return 0
	}
	s := n.Text(want)
	for i, w := range words {
		if s == w {
			return i
		}
	}
	n.Fail("write "+want, "%q is not known", s)
	return 0
}

// List returns the elements of an array field; an absent field has none.
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

// Texts returns the elements of an array of strings.
func (o *Object) Texts(name, want string) []string {
	var texts []string
	for _, n := range o.List(name) {
		texts = append(texts, n.Text(want))
	}
	return texts
}

// End records every field that was not read as unknown.
func (o *Object) End() {
	for _, v := range o.names {
		name := v.Value.(hujson.Literal).String()
		if !o.used[name] {
			o.child(name, v).Fail("remove it or correct its name; known: "+o.known(), "unknown field")
		}
	}
}

func (o *Object) known() string {
	var names []string
	for name := range o.used {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
