@0xd3a1f0c27be94415;
# Messages between entries. Members are added and never removed; a reader ignores
# members that it does not know.

struct Hello {
  node @0 :Text;
  session @1 :UInt64;        # random number of each process
  sequence @2 :UInt64;
  closing @3 :Bool;
  configuration @4 :Int64;   # version in force, -1 for none
  position @5 :Int64;        # registrations read, -1 for none
  loads @6 :List(Load);
  crashes @7 :List(Crash);
  retired8 @8 :List(Text);   # no longer sent
  uses @9 :List(Use);
  failureDomain @10 :Text;
  entries @11 :UInt32;
  far @12 :Bool;             # loads are sums of the sender's failure domain
  storeWell @13 :Bool;
  records @14 :List(Entry);  # registrations read last
  asksDomain @15 :Bool;      # the sender does not know the receiver's failure domain
  address @16 :Text;         # of the entry that wrote the message, "ip:port"
  members @17 :List(Member); # entries that sent messages recently
  reading @18 :Bool;         # the sender reads new records of the store
  retired19 @19 :List(Text); # no longer sent
  partial @20 :Bool;         # loads hold only those that changed
  refused @21 :List(Refusal); # recent refusals for lack of free capacity
  evacuated @22 :List(Text); # failure domains that must get no new work
  evacuatedAt @23 :Int64 = -1; # offset up to which evacuation records were read
  unreached @24 :List(Text); # targets to which connections failed recently
  rates @25 :List(Rate);     # rates recently reported in answers of targets
  leaving @26 :List(Incarnation); # targets that announced that they leave
  cleared @27 :List(Clearance); # suspected requests that ran, lately or before
  unanswered @28 :Bool;      # the store does not answer the sender's reads
  relays @29 :List(Text);    # "ip:port" at which requests of other entries are accepted
  cutOff @30 :Bool;          # the sender reaches no target of any service
  brittle @31 :List(Brittle); # services whose targets bear few rejections
  rejected @32 :List(Rejection); # brittle targets that recently rejected a request
  starts @33 :List(Starts);  # streams that entries recently began to deliver
  pastVersions @34 :List(PastVersion); # software versions that targets had until recently
  retired35 @35 :Bool;       # still sent to earlier builds: the past versions are complete
  era @36 :UInt64;           # era of the store that the position belongs to, 0 for none
  evacuatedEra @37 :UInt64;  # era that evacuatedAt belongs to
  heldEvacuations @38 :List(Text); # kept although an older copy of the store lacks them
  demand @39 :List(Demand);  # by class; of the failure domain if far is set
  knowsVersions @40 :Bool;   # the past versions are complete, as the store has shown
  cuts @41 :List(Cut);       # services that the sender, or some of the relays, don't reach
  pastUses @42 :List(PastUse); # of processes that ended lately, to a new process only
  knowsAnswers @43 :Bool;    # all parts of prompts that were answered before are known
  recordedVersions @44 :List(PastVersion); # on record in the store, without an age
}

struct PastUse {
  node @0 :Text;
  process @1 :UInt64;        # session of the process
  uses @2 :List(Use);
  age @3 :UInt32;            # milliseconds since the process reported them
}

struct Cut {
  service @0 :Text;
  relays @1 :List(Text);     # those of the relays that reach none of its targets
}

struct Demand {
  # Requests of one service and priority with long or short expected answers.
  service @0 :Text;          # "" in the only item of an entry without requests
  priority @1 :Int32;
  long @2 :Bool;
  waiting @3 :UInt32;        # requests that wait for capacity
  late @4 :UInt32;           # those of them that will miss their objective
  returning @5 :UInt32;      # rejected clients whose Retry-After has not ended
  started @6 :UInt32;        # in the last four seconds, as are the next two
  ended @7 :UInt32;
  rejected @8 :UInt32;
  entries @9 :UInt32;        # number of entries that the counts are sums of
  age @10 :UInt32;           # mean age of the counts in milliseconds
}

struct Starts {
  version @0 :Text;          # software version that began the streams
  streams @1 :List(UInt64);  # hashes of the attempts that they began in
}

struct PastVersion {
  service @0 :Text;
  version @1 :Text;
  age @2 :UInt32;            # milliseconds since its last target was removed
}

struct Brittle {
  service @0 :Text;
  named @1 :Bool;            # false: its targets are sound again
  rejections @2 :Float64;    # rejected requests a second that each target bears
  age @3 :UInt32;            # milliseconds since the answer
}

struct Rejection {
  target @0 :Text;
  age @1 :UInt32;            # milliseconds since the rejection
}

struct Refusal {
  digest @0 :Text;
  age @1 :UInt32;            # milliseconds since the caller's first request
}

struct Member {
  address @0 :Text;
  failureDomain @1 :Text;
}

struct Load {
  target @0 :Text;
  calls @1 :UInt32;          # open attempts
  memory @2 :UInt32;         # engine memory that they are expected to use, in tokens
  reading @3 :UInt32;        # prompt tokens that the target has still to read
  readRate @4 :Float32;      # prompt tokens a millisecond, 0 for unknown
  retired5 @5 :UInt16;       # no longer sent
  incoming @6 :UInt32;       # tokens that are being copied to the target
  outgoing @7 :UInt32;       # tokens that are being copied from the target
  pace @8 :Float32;          # milliseconds per generated token, 0 for unknown
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
  named @2 :Bool;            # false: the target accepts any rate
  rate @3 :Float64;          # requests a second, for all entries together
  age @4 :UInt32;            # milliseconds since the answer
  turn @5 :UInt32;           # number of times that the rate passed to other entries
}

struct Crash {
  digest @0 :Text;           # of a request that was at the target, or "part ID"
  crash @1 :Text;            # the incarnation of the target that ended
  age @2 :UInt32;            # milliseconds since the crash
}

struct Clearance {
  digest @0 :Text;           # of a request, or "part ID"
  age @1 :UInt32;            # milliseconds since the answer
}

struct Copy {
  # Records that an entry sends to one that cannot read the store.
  configuration @0 :Data;    # the record as the operator wrote it
  position @1 :Int64;
  registrations @2 :List(Entry);
  era @3 :UInt64;            # era of the store that the position belongs to, 0 for none
}

struct Entry {
  key @0 :Text;
  value @1 :Data;
}
