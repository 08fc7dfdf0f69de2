@0xb3c5f1d2a4e69078;

# UDP datagram between daemons; one packed message per datagram.
struct Datagram {
  from @0 :UInt64;
  to @1 :UInt64;
  tableVersion @2 :UInt64;
  configVersion @3 :UInt64;
  # Time in ms since configVersion was known to be current; default: unknown.
  freshMs @4 :UInt32 = 0xffffffff;
  body :union {
    renew @5 :Renew;
    renewed @6 :Renewed;
    lapsed @7 :Lapsed;
    ask @8 :Number;
    released @9 :Released;
    claim @10 :Claim;
    yielded @11 :Claim;
    probe @12 :UInt64;
    probed @13 :UInt64;
  }
}

struct Number { owner @0 :UInt64; epoch @1 :UInt32; }
struct Renew { epoch @0 :UInt32; other @1 :UInt64; sentUs @2 :UInt64; }
struct Renewed { epoch @0 :UInt32; sentUs @1 :UInt64; }
struct Lapsed { number @0 :Number; other @1 :UInt64; }
struct Released { number @0 :Number; table @1 :UInt64; config @2 :UInt64; }
struct Claim { slice @0 :UInt32; since @1 :UInt64; }

# UDP datagram between daemons in deployments that coordinate ownership through the store.
struct Signal {
  # Id of the server life that the sender represents; 0 before it is registered.
  from @0 :UInt64;
  # Id of the sender's process.
  run @1 :UInt64;
  # Newest term and versions of table, configuration and zones known to the sender.
  term @2 :UInt64;
  table @3 :UInt64;
  config @4 :UInt64;
  zones @5 :UInt64;
  body :union {
    heartbeat @6 :Heartbeat;
    renewal @7 :Renewal;
    poll @8 :UInt64;
    polled @9 :Polled;
  }
}

struct Heartbeat {
  # Sender's clock when the heartbeat was sent; echoed in the renewal.
  sentUs @0 :UInt64;
  # Time in ms since the store confirmed that `term` is the newest; default: unknown.
  wordAgeMs @1 :UInt32 = 0xffffffff;
  releases @2 :List(RangeRelease);
  # Ids of ended lives of the sender's local server.
  ended @3 :List(UInt64);
  rateMilli @4 :UInt32;
  positions @5 :List(UInt16);
  # Slots in use at the sender's server, in thousandths of its slots; above 1000 if requests wait.
  pressureMilli @6 :UInt32;
  # Time in ms until the server's next report is due; default: no server reports.
  reportMs @7 :UInt32 = 0xffffffff;
}

struct RangeRelease {
  by @0 :UInt64;
  first @1 :UInt16;
  fence @2 :UInt64;
  handover @3 :Text;
  service @4 :Text;
}

struct Renewal {
  sentUs @0 :UInt64;
  # Duration of the renewed lease in ms; 0 if the lease wasn't renewed.
  leaseMs @1 :UInt32;
  leads @2 :Bool;
  # Whether the leader asks the member to check in the store that its term is the newest.
  wantsWord @3 :Bool;
  # Ids of members that the leader hasn't heard from recently.
  silent @4 :List(UInt64);
}

struct Polled {
  echo @0 :UInt64;
  # Time in ms since the last response of the leader of `term`; default: never received.
  heardMs @1 :UInt32 = 0xffffffff;
}

struct Header { name @0 :Data; value @1 :Data; }

struct Request {
  attempt @0 :UInt64;
  workspace @1 :Text;
  service @2 :Text;
  keyHash @3 :UInt64;
  keyed @4 :Bool;
  method @5 :Text;
  path @6 :Data;
  headers @7 :List(Header);
  body @8 :Data;
  # Time left until the caller's deadline when the request was sent, in ms.
  budgetMs @9 :UInt32;
  tableVersion @10 :UInt64;
  configVersion @11 :UInt64;
  idempotencyKey @12 :Data;
  idempotent @13 :Bool;
  # Priority rank; 0 is the highest.
  rank @14 :UInt8;
  # Time left until the target latency of the route is exceeded, in ms.
  goalMs @15 :UInt32;
  # Service of the instance that received the request from its caller.
  origin @16 :Text;
  # Id of the route, for per-route latency estimates.
  route @17 :UInt64;
  # Expected time to complete at another upstream, in microseconds; 0 if there is none.
  elsewhereUs @18 :UInt32;
}

struct Answer {
  attempt @0 :UInt64;
  # Load at the answering daemon's upstream, for load balancing.
  inFlight @1 :UInt32;
  latencyUs @2 :UInt32;
  union {
    refused @3 :Refusal;
    reply @4 :Reply;
  }
  # Estimated wait and run time of a request of the same route that arrives now, in microseconds.
  waitUs @5 :UInt32;
  runUs @6 :UInt32;
}

struct Refusal {
  kind @0 :UInt16;
  detail @1 :Text;
  tableVersion @2 :UInt64;
  retryMs @3 :UInt32;
  # Whether the request was passed to an upstream.
  sent @4 :Bool;
}

struct Reply {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  rest @3 :Body;
}

interface Body {
  read @0 () -> (chunk :Data, end :Bool);
}

enum Document { table @0; config @1; }

struct Share {
  workspace @0 :Text;
  # Granted rate, in thousandths of a token per second.
  rateMilli @1 :UInt64;
  burstMilli @2 :UInt64;
  # Time in ms until a token is available; 0 if one is available now.
  waitMs @3 :UInt32;
  freshMilli @4 :UInt64;
}

struct Demand {
  workspace @0 :Text;
  # Recently observed request rate, in thousandths of a request per second.
  rateMilli @1 :UInt64;
  # Rate and burst depth of the share currently in force, in thousandths.
  heldMilli @2 :UInt64;
  heldDepthMilli @3 :UInt32;
  tokensMilli @4 :UInt64;
  daemon @5 :UInt64;
}

interface Peer {
  forward @0 (request :Request) -> (answer :Answer);
  # The content is compact only if the caller asks for it: then the table comes as the differences
  # since the version that the caller has, if these are kept, and nothing newer leaves it empty. The
  # zones in a configuration have a revision of their own; default: the caller doesn't tell its own.
  fetch @1 (document :Document, have :UInt64, compact :Bool,
            haveZones :UInt64 = 0xffffffffffffffff)
    -> (version :UInt64, content :Data, compact :Bool);
  patch @2 (content :Data) -> (outcome :Data);
  report @3 (content :Data) -> (accepted :Bool);
  # Records of a released slice; empty if it wasn't released.
  records @5 (slice :UInt32, since :UInt64) -> (content :Data);
  share @4 (demands :List(Demand)) -> (shares :List(Share), accepted :Bool);
}
