@0xb7d1c1a4f0e25c93;
# Messages between entries. Members are added and never removed; a reader ignores
# members that it does not know.

struct Signed {
  version @0 :UInt16;
  mac @1 :Data;
  body @2 :Data;
}

struct Gossip {
  sender @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  wantsAnswer @4 :Bool;
  leaving @5 :Bool;
  countsWhole @6 :Bool;
  accepted @7 :Int64;
  position @8 :Int64;
  members @9 :List(Member);
  marks @10 :List(Mark);
  counts @11 :List(Count);
  quarantined @12 :List(Quarantined);
  era @13 :UInt64;  # Era of the log in which accepted and position are offsets.
}

struct Member {
  name @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  status @3 :UInt8;
}

struct Mark {
  target @0 :Text;
  incarnation @1 :UInt64;
}

struct Count {
  target @0 :UInt32;
  count @1 :UInt16;
}

struct Quarantined {
  digest @0 :Text;
  remainingMs @1 :UInt32;
}

struct CheckpointRequest {
  nonce @0 :UInt64;
}

struct CheckpointAnswer {
  nonce @0 :UInt64;
  record @1 :Data;  # Snapshot record as JSON, compressed with zlib.
}
