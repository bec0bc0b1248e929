package wire

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (*Load) Kind() Kind { return KindLoad }

// Kind implements Message.
func (*BidRequest) Kind() Kind { return KindBidRequest }

// Kind implements Message.
func (*Bid) Kind() Kind { return KindBid }

// Kind implements Message.
func (*Offer) Kind() Kind { return KindOffer }

// Kind implements Message.
func (*Accepted) Kind() Kind { return KindAccepted }

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

// Kind implements Message.
func (*State) Kind() Kind { return KindState }

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }

// Kind implements Message.
func (*Data) Kind() Kind { return KindData }

// Kind implements Message.
func (*Final) Kind() Kind { return KindFinal }

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Tombstone) Kind() Kind { return KindTombstone }

// Kind implements Message.
func (*Tombstoned) Kind() Kind { return KindTombstoned }

// Kind implements Message.
func (*Resume) Kind() Kind { return KindResume }

// Kind implements Message.
func (*ResumeRefused) Kind() Kind { return KindResumeRefused }

// Kind implements Message.
func (*Pace) Kind() Kind { return KindPace }

// PathProtos returns the prototypes of the messages between entries and agents.
func PathProtos() []Proto {
	return []Proto{
		ProtoOf[Announce](),
		ProtoOf[Load](),
		ProtoOf[BidRequest](),
		ProtoOf[Bid](),
		ProtoOf[Offer](),
		ProtoOf[Accepted](),
		ProtoOf[Refused](),
		ProtoOf[State](),
		ProtoOf[Head](),
		ProtoOf[Data](),
		ProtoOf[Final](),
		ProtoOf[Ack](),
		ProtoOf[Cancel](),
		ProtoOf[Tombstone](),
		ProtoOf[Tombstoned](),
		ProtoOf[Resume](),
		ProtoOf[ResumeRefused](),
		ProtoOf[Drain](),
		ProtoOf[Order](),
		ProtoOf[OrderState](),
		ProtoOf[Pace](),
		ProtoOf[Entries](),
	}
}
