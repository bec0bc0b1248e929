package link

import (
	"io"
	"time"

	"github.com/fasthttp/websocket"
)

const (
	// unpacedLimit is the size up to which a batch is written at once. Only a batch with a message
	// above batchLimit can be larger.
	unpacedLimit = 2 * batchLimit
	// initialPiece, minPiece and maxPiece are sizes of the pieces of a larger batch.
	initialPiece = 64 << 10
	minPiece     = 32 << 10
	maxPiece     = 512 << 10
	// pieceTime is how long a piece may take before the next ones are not larger, and twice that
	// before they are smaller.
	pieceTime = 50 * time.Millisecond
	// pieceMark is the data of the ping that follows a piece.
	pieceMark = "piece"
)

// writePaced writes a large message in pieces, each after the peer has read the one before, which
// its answer to a ping shows.
//
// A message that is handed to the network at once fills the queue of a slow link, and everything
// that this machine sends on other connections waits behind it: control members that send whole
// documents to entries lost their leader.
func (c *Conn) writePaced(messageType int, batch []byte) error {
	w, err := c.ws.NextWriter(messageType)
	if err != nil {
		return err
	}
	var pieces Pieces
	for len(batch) > 0 {
		piece := batch[:min(pieces.Next(), len(batch))]
		batch = batch[len(piece):]
		if err := c.writePiece(w, piece); err != nil {
			return err
		}
	}
	// The peer may have taken longer than Options.Silence to read the last piece.
	_ = c.ws.SetWriteDeadline(time.Now().Add(c.opt.Silence))
	return w.Close()
}

// Pieces chooses the sizes of the pieces of a large message that are sent one at a time, so that
// a piece takes about pieceTime.
type Pieces struct {
	size int
	sent time.Time
}

// Next returns the size of the next piece in bytes; the one before has just been acknowledged.
func (p *Pieces) Next() int {
	took := time.Since(p.sent)
	switch {
	case p.size == 0:
		p.size = initialPiece
	case took < pieceTime:
		p.size = min(2*p.size, maxPiece)
	case took > 2*pieceTime:
		p.size = max(p.size/2, minPiece)
	}
	p.sent = time.Now()
	return p.size
}

// writePiece writes a piece and waits until the peer has read it. A peer that is busy with the
// message before may take longer than Options.Silence; it sends pings meanwhile.
func (c *Conn) writePiece(w io.Writer, piece []byte) error {
	deadline := time.Now().Add(c.opt.Silence)
	_ = c.ws.SetWriteDeadline(deadline)
	if _, err := w.Write(piece); err != nil {
		return err
	}
	if err := c.ws.WriteControl(websocket.PingMessage, []byte(pieceMark), deadline); err != nil {
		return err
	}
	select {
	case <-c.pieceRead:
		return nil
	case <-c.closed:
		return ErrClosed
	}
}

// pieceWasRead records the peer's answer to the ping after a piece. There is one ping at a time.
func (c *Conn) pieceWasRead() {
	select {
	case c.pieceRead <- struct{}{}:
	default:
	}
}

// readMessage reads one message. Each piece that arrives extends the read deadline: a large message
// takes longer than Options.Silence over a slow link.
func (c *Conn) readMessage() ([]byte, error) {
	_, r, err := c.ws.NextReader()
	if err != nil {
		return nil, err
	}
	c.receiving.Store(true)
	defer c.receiving.Store(false)
	return io.ReadAll(pieceReader{r, c.extendReadDeadline})
}

// Receiving reports whether a part of a message has arrived and the rest is awaited. Messages that were sent
// after it arrive after it.
func (c *Conn) Receiving() bool { return c.receiving.Load() }

// pieceReader calls arrived after each read that yields bytes.
type pieceReader struct {
	io.Reader
	arrived func()
}

func (p pieceReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.arrived()
	}
	return n, err
}
