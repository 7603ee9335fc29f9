@0xd3a1f0c27be94415;
# Messages between gateways. Members are only ever added; a reader ignores those
# that it does not know.

struct Hello {
  node @0 :Text;
  session @1 :UInt64;        # drawn anew by each process
  sequence @2 :UInt64;
  closing @3 :Bool;
  configuration @4 :Int64;   # version in force, -1 for none
  position @5 :Int64;        # registrations read, -1 for none
  loads @6 :List(Load);
  crashes @7 :List(Crash);
  retired8 @8 :List(Text);   # no longer told
  uses @9 :List(Use);
  failureDomain @10 :Text;
  entries @11 :UInt32;
  far @12 :Bool;             # loads are sums of the sender's failure domain
  storeWell @13 :Bool;
  records @14 :List(Entry);  # registrations that were read last
  asksDomain @15 :Bool;      # the receiver's failure domain is not known yet
  address @16 :Text;         # of the entry that wrote it, "ip:port"
  members @17 :List(Member); # heard of late
  reading @18 :Bool;         # reads the store's records as they come
  retired19 @19 :List(Text); # no longer told
  partial @20 :Bool;         # loads are only those that changed
  refused @21 :List(Refusal); # refused of late for want of room
  evacuated @22 :List(Text); # failure domains that are to get no more work
  evacuatedAt @23 :Int64 = -1; # how far the operator's records were read for them
  unreached @24 :List(Text); # targets that could not be connected to of late
  rates @25 :List(Rate);     # named of late in answers of targets
  leaving @26 :List(Incarnation); # targets that said that they leave
  cleared @27 :List(Clearance); # suspected requests that have run of late
  unanswered @28 :Bool;      # the store does not answer the sender's own reads
}

struct Refusal {
  digest @0 :Text;
  age @1 :UInt32;            # milliseconds since its caller first came
}

struct Member {
  address @0 :Text;
  failureDomain @1 :Text;
}

struct Load {
  target @0 :Text;
  calls @1 :UInt32;
  memory @2 :UInt32;
  reading @3 :UInt32;
  readRate @4 :Float32;      # 0 for unknown
  retired5 @5 :UInt16;       # no longer told
  incoming @6 :UInt32;       # tokens that are being copied to it
  outgoing @7 :UInt32;
}

struct Use {
  service @0 :Text;
  requests @1 :UInt32;
  repeats @2 :UInt32;
}

struct Incarnation {
  target @0 :Text;
  born @1 :Int64;            # Unix millisecond of the target's start
}

struct Rate {
  target @0 :Text;
  born @1 :Int64;            # Unix millisecond of the target's start
  named @2 :Bool;            # false: the target takes any rate
  rate @3 :Float64;          # requests a second from all gateways together
  age @4 :UInt32;            # milliseconds since the answer
  turn @5 :UInt32;           # how often the rate had passed to other gateways
}

struct Crash {
  digest @0 :Text;           # of a request that was there
  crash @1 :Text;            # the life of the target that ended
  age @2 :UInt32;            # milliseconds since then
}

struct Clearance {
  digest @0 :Text;
  age @1 :UInt32;            # milliseconds since the answer
}

struct Copy {
  # What one gateway hands to another that can't read the store itself.
  configuration @0 :Data;    # the record as the operator wrote it
  position @1 :Int64;
  registrations @2 :List(Entry);
}

struct Entry {
  key @0 :Text;
  value @1 :Data;
}
