package chunk

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPack(t *testing.T) {
	tests := []struct {
		name     string
		data     string
		want     string // "" means Raw of data
		finished bool
	}{
		{"chat text", `{"choices":[{"index":0,"delta":{"content":"a\n"},"finish_reason":null}]}`, "Ta\n", false},
		{"completion text", `{"choices":[{"index":0,"text":"b","finish_reason":null}]}`, "Tb", false},
		{"role travels raw", `{"choices":[{"index":0,"delta":{"role":"assistant","content":""}}]}`, "", false},
		{"finish travels raw", `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, "", true},
		{"second choice travels raw", `{"choices":[{"index":1,"delta":{"content":"a"}}]}`, "", false},
		{"logprobs travel raw", `{"choices":[{"index":0,"delta":{"content":"a"},"logprobs":{"content":[]}}]}`, "", false},
		{"usage travels raw", `{"choices":[],"usage":{"prompt_tokens":1}}`, "", false},
		{"null content travels raw", `{"choices":[{"index":0,"delta":{"content":null}}]}`, "", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			item, finished, err := Pack(nil, []byte(tc.data))
			c.Assert(err, qt.IsNil)
			want := tc.want
			if want == "" {
				want = "J" + tc.data
			}
			c.Assert(string(item), qt.Equals, want)
			c.Assert(finished, qt.Equals, tc.finished)
		})
	}
}

func TestPackRefusesWhatIsNoChunk(t *testing.T) {
	c := qt.New(t)
	_, _, err := Pack(nil, []byte(`{"choices":`))
	c.Assert(err, qt.IsNotNil)
	_, _, err = Pack(nil, []byte(`{"error":{"message":"out of memory"}}`))
	c.Assert(err, qt.ErrorIs, ErrEngine)
	_, _, err = Split(nil)
	c.Assert(err, qt.ErrorIs, ErrForm)
}
