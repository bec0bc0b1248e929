package fleetconfig

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// The bounds of one file. They hold before the parser's work grows with what
// a file could name: an alias copies its anchor, so values are counted after
// the copy.
const (
	MaxFileBytes = 4 << 20
	maxLines     = 100_000
	maxDepth     = 16
	maxNodes     = 200_000
	maxAliases   = 1000
)

// reader turns the parser's tree into nodes within the bounds.
type reader struct {
	file     string
	anchors  map[string]ast.Node
	nodes    int
	aliases  int
	problems Problems
}

// readYAML parses one document of one file.
func readYAML(file string, data []byte) (*node, Problems) {
	if p, ok := precheck(file, data); !ok {
		return nil, Problems{p}
	}
	doc, problems := parseFile(file, data)
	if len(problems) > 0 {
		return nil, problems
	}
	r := &reader{file: file, anchors: map[string]ast.Node{}}
	if doc == nil {
		return &node{kind: kindMap, pos: Pos{File: file, Line: 1, Col: 1}}, nil
	}
	root := r.value(doc, 0)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	if root.kind != kindMap {
		return nil, Problems{{Pos: root.pos, Msg: "want a mapping at the top, got " + root.kind.String()}}
	}
	return root, nil
}

// precheck refuses what the parser would take too much stack or time for: deep
// flow nesting, runs of block entries on one line, and too many lines, as its
// time grows with their square in lists of nothing.
func precheck(file string, data []byte) (Problem, bool) {
	if len(data) > MaxFileBytes {
		return Problem{Pos: Pos{File: file}, Msg: fmt.Sprintf("file is longer than %s", Size(MaxFileBytes))}, false
	}
	line, open, run := 1, 0, 0
	for i, b := range data {
		switch {
		case b == '\n':
			line++
			run = 0
		case b == '[', b == '{':
			open++
		case b == ']', b == '}':
			open = max(open-1, 0)
		case (b == '-' || b == '?') && i+1 < len(data) && isBlank(data[i+1]):
			run++
		case !isBlank(b):
			run = 0
		}
		if open > 2*maxDepth || run > 4*maxDepth {
			return Problem{Pos: Pos{File: file, Line: line}, Msg: fmt.Sprintf("nested deeper than %d", maxDepth)}, false
		}
	}
	if line > maxLines {
		return Problem{Pos: Pos{File: file, Line: line}, Msg: fmt.Sprintf("more than %d lines", maxLines)}, false
	}
	return Problem{}, true
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// parseFile runs the library's parser. A panic inside it becomes a problem of
// the file: an operator's broken file must not end a control process, and the
// parser keeps no state that a panic could leave half changed.
func parseFile(file string, data []byte) (body ast.Node, problems Problems) {
	defer func() {
		if r := recover(); r != nil {
			problems = Problems{{Pos: Pos{File: file}, Msg: fmt.Sprintf("unreadable: %v", r)}}
		}
	}()
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	docs := f.Docs
	if len(docs) == 0 {
		return nil, nil
	}
	if len(docs) > 1 {
		return nil, Problems{{Pos: docPos(file, docs[1]), Msg: "a second document; want exactly one"}}
	}
	return docs[0].Body, nil
}

func docPos(file string, doc *ast.DocumentNode) Pos {
	if doc.Start != nil && doc.Start.Position != nil {
		return Pos{File: file, Line: doc.Start.Position.Line, Col: doc.Start.Position.Column}
	}
	return Pos{File: file}
}

func syntaxProblem(file string, err error) Problem {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		return Problem{Pos: tokenPos(file, syntax.Token), Msg: syntax.Message}
	}
	msg, _, _ := strings.Cut(err.Error(), "\n")
	return Problem{Pos: Pos{File: file}, Msg: msg}
}

func tokenPos(file string, t *token.Token) Pos {
	if t == nil || t.Position == nil {
		return Pos{File: file}
	}
	return Pos{File: file, Line: t.Position.Line, Col: t.Position.Column}
}

func (r *reader) pos(n ast.Node) Pos { return tokenPos(r.file, n.GetToken()) }

func (r *reader) fail(pos Pos, msg string) *node {
	r.problems = append(r.problems, Problem{Pos: pos, Msg: msg})
	return &node{kind: kindString, pos: pos}
}

func (r *reader) value(n ast.Node, depth int) *node {
	if len(r.problems) > 0 {
		return &node{kind: kindString, pos: Pos{File: r.file}}
	}
	if n == nil {
		return r.fail(Pos{File: r.file}, "value is missing")
	}
	r.nodes++
	if r.nodes > maxNodes {
		return r.fail(r.pos(n), fmt.Sprintf("more than %d values", maxNodes))
	}
	if depth > maxDepth {
		return r.fail(r.pos(n), fmt.Sprintf("nested deeper than %d", maxDepth))
	}
	switch v := n.(type) {
	case *ast.MappingNode:
		return r.mapping(r.mappingPos(v), v.Values, depth)
	case *ast.MappingValueNode:
		return r.mapping(r.pos(v.Key), []*ast.MappingValueNode{v}, depth)
	case *ast.SequenceNode:
		return r.list(v, depth)
	case *ast.AnchorNode:
		return r.anchor(v, depth)
	case *ast.AliasNode:
		return r.alias(v, depth)
	default:
		return r.scalar(n)
	}
}

func (r *reader) mappingPos(m *ast.MappingNode) Pos {
	if len(m.Values) > 0 {
		return r.pos(m.Values[0].Key)
	}
	return tokenPos(r.file, m.Start)
}

func (r *reader) mapping(pos Pos, values []*ast.MappingValueNode, depth int) *node {
	out := &node{kind: kindMap, pos: pos}
	seen := make(map[string]Pos, len(values))
	for _, v := range values {
		key, ok := v.Key.(*ast.StringNode)
		if !ok {
			return r.fail(r.pos(v.Key), "want a plain string as key")
		}
		keyPos := r.pos(key)
		if first, dup := seen[key.Value]; dup {
			return r.fail(keyPos, fmt.Sprintf("duplicate key %q, first at line %d", key.Value, first.Line))
		}
		seen[key.Value] = keyPos
		out.fields = append(out.fields, field{key: key.Value, pos: keyPos, val: r.value(v.Value, depth+1)})
	}
	return out
}

func (r *reader) list(s *ast.SequenceNode, depth int) *node {
	out := &node{kind: kindList, pos: tokenPos(r.file, s.Start)}
	for _, v := range s.Values {
		out.items = append(out.items, r.value(v, depth+1))
	}
	return out
}

// anchor names its value only after reading it, so that an alias inside its
// own anchor is unknown instead of endless.
func (r *reader) anchor(a *ast.AnchorNode, depth int) *node {
	out := r.value(a.Value, depth+1)
	r.anchors[a.Name.GetToken().Value] = a.Value
	return out
}

func (r *reader) alias(a *ast.AliasNode, depth int) *node {
	r.aliases++
	if r.aliases > maxAliases {
		return r.fail(r.pos(a), fmt.Sprintf("more than %d aliases", maxAliases))
	}
	name := a.Value.GetToken().Value
	target, ok := r.anchors[name]
	if !ok {
		return r.fail(r.pos(a), fmt.Sprintf("unknown alias %q", name))
	}
	return r.value(target, depth+1)
}

func (r *reader) scalar(n ast.Node) *node {
	pos := r.pos(n)
	switch v := n.(type) {
	case *ast.StringNode:
		return &node{kind: kindString, text: v.Value, pos: pos}
	case *ast.LiteralNode:
		return &node{kind: kindString, text: v.Value.Value, pos: pos}
	case *ast.BoolNode:
		return &node{kind: kindBool, text: strconv.FormatBool(v.Value), pos: pos}
	case *ast.IntegerNode:
		return r.integer(v, pos)
	case *ast.FloatNode:
		if math.IsInf(v.Value, 0) || math.IsNaN(v.Value) {
			return r.fail(pos, "want a finite number")
		}
		return &node{kind: kindFloat, text: strconv.FormatFloat(v.Value, 'g', -1, 64), pos: pos}
	case *ast.NullNode:
		return r.fail(pos, "value is missing; leave the key out, or spell a removal as remove: true on the item")
	default:
		return r.fail(pos, fmt.Sprintf("%s is not supported here", n.Type()))
	}
}

func (r *reader) integer(v *ast.IntegerNode, pos Pos) *node {
	switch n := v.Value.(type) {
	case int64:
		return &node{kind: kindInt, text: strconv.FormatInt(n, 10), pos: pos}
	case uint64:
		if n <= math.MaxInt64 {
			return &node{kind: kindInt, text: strconv.FormatUint(n, 10), pos: pos}
		}
	}
	return r.fail(pos, "number is too large; a string of digits wants quotes")
}
