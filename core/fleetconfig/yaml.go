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

// Limits of one file. They bound the work of parsing it. Size, number of lines
// and, approximately, nesting are checked before parsing. Values are counted after
// aliases have been expanded, because each alias copies the value of its anchor.
const (
	MaxFileBytes = 4 << 20
	maxLines     = 100_000
	maxDepth     = 16
	maxNodes     = 200_000
	maxAliases   = 1000
)

// reader converts the parser's syntax tree into nodes and enforces the limits.
type reader struct {
	file     string
	anchors  map[string]ast.Node
	nodes    int
	aliases  int
	problems Problems
}

// readYAML parses a file, which must contain at most one YAML document.
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
	root := r.readValue(doc, 0)
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	if root.kind != kindMap {
		return nil, Problems{{Pos: root.pos, Msg: "want a mapping at the top, got " + root.kind.String()}}
	}
	return root, nil
}

// precheck rejects files for which the parser would need too much stack or time: large
// files, deeply nested flow collections, long runs of block entries on one line, and
// files with too many lines. In lists of empty entries, the parser's time grows with
// the square of the number of lines.
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

// parseFile runs the library's parser. It reports a panic in the parser as a problem of
// the file, because a malformed file must not terminate a control process. This is
// safe because the parser has no state that a panic could leave inconsistent.
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

func (r *reader) readValue(n ast.Node, depth int) *node {
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
		return r.readMapping(r.mappingPos(v), v.Values, depth)
	case *ast.MappingValueNode:
		return r.readMapping(r.pos(v.Key), []*ast.MappingValueNode{v}, depth)
	case *ast.SequenceNode:
		return r.readList(v, depth)
	case *ast.AnchorNode:
		return r.readAnchor(v, depth)
	case *ast.AliasNode:
		return r.readAlias(v, depth)
	default:
		return r.readScalar(n)
	}
}

func (r *reader) mappingPos(m *ast.MappingNode) Pos {
	if len(m.Values) > 0 {
		return r.pos(m.Values[0].Key)
	}
	return tokenPos(r.file, m.Start)
}

func (r *reader) readMapping(pos Pos, values []*ast.MappingValueNode, depth int) *node {
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
		out.fields = append(out.fields, field{key: key.Value, pos: keyPos, val: r.readValue(v.Value, depth+1)})
	}
	return out
}

func (r *reader) readList(s *ast.SequenceNode, depth int) *node {
	out := &node{kind: kindList, pos: tokenPos(r.file, s.Start)}
	for _, v := range s.Values {
		out.items = append(out.items, r.readValue(v, depth+1))
	}
	return out
}

// readAnchor registers the anchor only after its value has been read, so that an alias
// inside the value of its own anchor is reported as unknown instead of causing endless
// recursion.
func (r *reader) readAnchor(a *ast.AnchorNode, depth int) *node {
	out := r.readValue(a.Value, depth+1)
	r.anchors[a.Name.GetToken().Value] = a.Value
	return out
}

func (r *reader) readAlias(a *ast.AliasNode, depth int) *node {
	r.aliases++
	if r.aliases > maxAliases {
		return r.fail(r.pos(a), fmt.Sprintf("more than %d aliases", maxAliases))
	}
	name := a.Value.GetToken().Value
	value, ok := r.anchors[name]
	if !ok {
		return r.fail(r.pos(a), fmt.Sprintf("unknown alias %q", name))
	}
	return r.readValue(value, depth+1)
}

func (r *reader) readScalar(n ast.Node) *node {
	pos := r.pos(n)
	switch v := n.(type) {
	case *ast.StringNode:
		return &node{kind: kindString, text: v.Value, pos: pos}
	case *ast.LiteralNode:
		return &node{kind: kindString, text: v.Value.Value, pos: pos}
	case *ast.BoolNode:
		return &node{kind: kindBool, text: strconv.FormatBool(v.Value), pos: pos}
	case *ast.IntegerNode:
		return r.readInteger(v, pos)
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

func (r *reader) readInteger(v *ast.IntegerNode, pos Pos) *node {
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
