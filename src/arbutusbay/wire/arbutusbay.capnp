@0xb7d1c5a3e2f49608;
# Messages between the processes of arbutusbay. Times are in milliseconds.

struct Member {
  node @0 :Text;
  host @1 :Text;
  zone @2 :Text;
  incarnation @3 :UInt64;
  counter @4 :UInt64;
  configOffset @5 :Int64;
  routerOffset @6 :Int64;
  leaving @7 :Bool;
}

struct Heartbeat {
  sender @0 :Text;
  members @1 :List(Member);
}

struct ResourceEntry {
  kind @0 :Text;
  name @1 :Text;
  spec @2 :Text;
  version @3 :Int64;
}

struct ConfigRequest {
  after @0 :Int64;
  waitMs @1 :UInt32;
  node @2 :Text;
}

struct ResourceKey {
  kind @0 :Text;
  name @1 :Text;
}

struct ConfigReply {
  offset @0 :Int64;
  entries @1 :List(ResourceEntry);
  members @2 :List(Member);
  changed @3 :Bool;
  leaving @4 :List(Text);
  full @5 :Bool;
  removed @6 :List(ResourceKey);
}

struct LedgerRequest {
  action @0 :Text;
  key @1 :Text;
  nonce @2 :Text;
  fingerprint @3 :Text;
  status @4 :UInt16;
  contentType @5 :Text;
  body @6 :Data;
}

struct LedgerReply {
  verdict @0 :Text;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
}

struct LookupRequest {
  pool @0 :Text;
  hashes @1 :List(UInt64);
}

struct EngineView {
  name @0 :Text;
  incarnation @1 :Text;
  weightsVersion @2 :Text;
  depth @3 :UInt32;
  running @4 :UInt32;
  waiting @5 :UInt32;
  queuedTokens @6 :UInt32;
  slots @7 :UInt32;
  ageMs @8 :UInt32;
  ready @9 :Bool;
  leaving @10 :Bool;
}

struct LookupReply {
  engines @0 :List(EngineView);
}

struct EndSuspect {
  model @0 :Text;
  segment @1 :Text;
  depth @2 :UInt32;
  isStarting @3 :Bool;
}

struct EndEntry {
  incarnation @0 :Text;
  ageMs @1 :UInt32;
  suspects @2 :List(EndSuspect);
}

struct AnswerEntry {
  model @0 :Text;
  segment @1 :Text;
  count @2 :UInt32;
  ageMs @3 :UInt32;
}

struct VerdictEntry {
  model @0 :Text;
  segment @1 :Text;
  revision @2 :UInt32;
  isQuarantined @3 :Bool;
  ageMs @4 :UInt32;
  probes @5 :UInt32;
}

struct QuarantineExchange {
  reporter @0 :Text;
  ends @1 :List(EndEntry);
  answers @2 :List(AnswerEntry);
  verdicts @3 :List(VerdictEntry);
  waitMs @4 :UInt32;
}

struct QuotaAsk {
  team @0 :Text;
  cost @1 :Float64;
  key @2 :UInt64;
  patienceMs @3 :UInt32;
}

struct QuotaLoan {
  node @0 :Text;
  partition @1 :UInt8;
  leaseMs @2 :UInt32;
  isReleased @3 :Bool;
  team @4 :Text;
  cost @5 :Float64;
  key @6 :UInt64;
  patienceMs @7 :UInt32;
  version @8 :Int64;
  ratePerS @9 :Float64;
  burst @10 :Float64;
}

struct QuotaReply {
  isGranted @0 :Bool;
  isFinal @1 :Bool;
  retryAfterMs @2 :UInt32;
  owner @3 :Text;
  share @4 :Float64;
}

struct QuotaReturn {
  team @0 :Text;
  cost @1 :Float64;
  owner @2 :Text;
}
