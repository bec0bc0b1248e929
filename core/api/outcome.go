package api

// Outcome is what a caller is told about a request that has ended. There are
// exactly four.
type Outcome string

const (
	// OutcomeCompleted means that the whole answer was delivered.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that the request provably did not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeInterrupted means that the request ran, that part of the answer may
	// have been delivered, and that the rest will not follow.
	OutcomeInterrupted Outcome = "interrupted"
	// OutcomeUnknown means that the request may or may not have run; nothing proves
	// either.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was refused, retried or cut short. Every reason
// has a row in Reasons, a metric label of the same spelling and a heading in
// docs/OPERATIONS.md.
type Reason string

// The reasons, roughly in the order in which a request can encounter them.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonForbidden          Reason = "forbidden"
	ReasonUnknownModel       Reason = "unknown_model"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonTooLarge           Reason = "too_large"
	ReasonNoConfig           Reason = "no_config"
	ReasonConfigUnconfirmed  Reason = "config_unconfirmed"
	ReasonShuttingDown       Reason = "shutting_down"
	ReasonConcurrencyLimit   Reason = "concurrency_limit"
	ReasonTokenRateLimit     Reason = "token_rate_limit"
	ReasonConnectionLimit    Reason = "connection_limit"
	ReasonNoTarget           Reason = "no_target"
	ReasonZoneEvacuated      Reason = "zone_evacuated"
	ReasonOutsideHomes       Reason = "outside_homes"
	ReasonVersionGone        Reason = "version_gone"
	ReasonOriginUnknown      Reason = "origin_unknown"
	ReasonTargetLimit        Reason = "target_limit"
	ReasonTargetBackoff      Reason = "target_backoff"
	ReasonQuarantined        Reason = "quarantined"
	ReasonQueueFull          Reason = "queue_full"
	ReasonDeadlineHopeless   Reason = "deadline_hopeless"
	ReasonNeverFits          Reason = "never_fits"
	ReasonTargetLeaving      Reason = "target_leaving"
	ReasonTargetGone         Reason = "target_gone"
	ReasonLinkLost           Reason = "link_lost"
	ReasonIncarnation        Reason = "wrong_incarnation"
	ReasonTombstoned         Reason = "tombstoned"
	ReasonDuplicate          Reason = "duplicate"
	ReasonEngineUnreachable  Reason = "engine_unreachable"
	ReasonEngineRefused      Reason = "engine_refused"
	ReasonEngineDied         Reason = "engine_died"
	ReasonEngineTruncated    Reason = "engine_truncated"
	ReasonReplayWindowPassed Reason = "replay_window_passed"
	ReasonIntegrity          Reason = "integrity"
	ReasonCancelled          Reason = "cancelled"
	ReasonSlowCaller         Reason = "slow_caller"
	ReasonTimeout            Reason = "timeout"
	ReasonRetryBudget        Reason = "retry_budget"
	ReasonClaimConflict      Reason = "claim_conflict"
	ReasonClaimInProgress    Reason = "claim_in_progress"
	ReasonClaimUndecided     Reason = "claim_undecided"
	ReasonControlUnavailable Reason = "control_unavailable"
	ReasonStaleFence         Reason = "stale_fence"
	ReasonInternal           Reason = "internal"
)

// ReasonInfo holds what an adapter needs in order to report a reason to a caller.
type ReasonInfo struct {
	// Status is the HTTP status of the response if no part of an answer has been
	// sent yet.
	Status int
	// Type is the error type of the OpenAI error object.
	Type string
	// Retry reports whether the request can succeed if it is sent again later.
	Retry bool
}

const (
	typeInvalid    = "invalid_request_error"
	typeAuth       = "authentication_error"
	typePermission = "permission_error"
	typeRate       = "rate_limit_error"
	typeServer     = "server_error"
	typeOverloaded = "overloaded_error"
)

// Reasons holds the details of every reason. It must not be modified.
var Reasons = map[Reason]ReasonInfo{
	ReasonBadRequest:         {400, typeInvalid, false},
	ReasonUnauthenticated:    {401, typeAuth, false},
	ReasonForbidden:          {403, typePermission, false},
	ReasonUnknownModel:       {404, typeInvalid, false},
	ReasonUnknownService:     {404, typeInvalid, false},
	ReasonTooLarge:           {413, typeInvalid, false},
	ReasonNoConfig:           {503, typeServer, true},
	ReasonConfigUnconfirmed:  {503, typeServer, true},
	ReasonShuttingDown:       {503, typeServer, true},
	ReasonConcurrencyLimit:   {429, typeRate, true},
	ReasonTokenRateLimit:     {429, typeRate, true},
	ReasonConnectionLimit:    {503, typeOverloaded, true},
	ReasonNoTarget:           {503, typeServer, true},
	ReasonZoneEvacuated:      {503, typeServer, true},
	ReasonOutsideHomes:       {503, typeServer, true},
	ReasonVersionGone:        {503, typeServer, true},
	ReasonOriginUnknown:      {503, typeServer, true},
	ReasonTargetLimit:        {503, typeOverloaded, true},
	ReasonTargetBackoff:      {503, typeOverloaded, true},
	ReasonQuarantined:        {503, typeServer, true},
	ReasonQueueFull:          {503, typeOverloaded, true},
	ReasonDeadlineHopeless:   {503, typeOverloaded, true},
	ReasonNeverFits:          {400, typeInvalid, false},
	ReasonTargetLeaving:      {503, typeServer, true},
	ReasonTargetGone:         {502, typeServer, true},
	ReasonLinkLost:           {502, typeServer, true},
	ReasonIncarnation:        {502, typeServer, true},
	ReasonTombstoned:         {503, typeServer, true},
	ReasonDuplicate:          {409, typeInvalid, false},
	ReasonEngineUnreachable:  {502, typeServer, true},
	ReasonEngineRefused:      {502, typeServer, false},
	ReasonEngineDied:         {502, typeServer, true},
	ReasonEngineTruncated:    {502, typeServer, true},
	ReasonReplayWindowPassed: {410, typeInvalid, false},
	ReasonIntegrity:          {502, typeServer, true},
	ReasonCancelled:          {499, typeInvalid, false},
	ReasonSlowCaller:         {408, typeInvalid, false},
	ReasonTimeout:            {504, typeServer, true},
	ReasonRetryBudget:        {503, typeOverloaded, true},
	ReasonClaimConflict:      {422, typeInvalid, false},
	ReasonClaimInProgress:    {409, typeInvalid, true},
	ReasonClaimUndecided:     {409, typeServer, false},
	ReasonControlUnavailable: {503, typeServer, true},
	ReasonStaleFence:         {409, typeInvalid, false},
	ReasonInternal:           {500, typeServer, false},
}
