@0xd6b1a9c3f04e7725;
# Messages between proxies, and the session token that callers carry.

struct GroupPosition {
  group @0 :Text;
  term @1 :UInt64;
  lsn @2 :UInt64;
}

struct SessionToken {
  site @0 :Text;
  configVersion @1 :UInt64;
  positions @2 :List(GroupPosition);
}

struct GroupOpinion {
  site @0 :Text;
  group @1 :Text;
  term @2 :UInt64;
  primaryDown @3 :Bool;
}

struct Heartbeat {
  proxy @0 :Text;
  domain @1 :Text;
  configVersion @2 :UInt64;
  draining @3 :Bool;
  opinions @4 :List(GroupOpinion);
  host @5 :Text;         # where this proxy takes peers' connections
  port @6 :UInt16;
  passOn @7 :Bool;       # asks the receiver to tell others
  blind @8 :Bool;        # the platform does not answer this proxy
  configAge @9 :UInt32;  # ms since its configuration was the newest, plus
                         # one; 0: not known
  storeGeneration @10 :UInt32;  # of the platform's table, the latest known
}

struct AgedHeartbeat {
  beat @0 :Heartbeat;
  ageMs @1 :UInt32;      # since it was heard, at least
}

struct AliveProxy {
  proxy @0 :Text;
  ageMs @1 :UInt32;
  revision @2 :UInt32;   # of the heartbeat's content
}

struct Roll {
  # Proxies of a failure domain that were all heard within an age.
  domain @0 :Text;
  count @1 :UInt16;
  revisions @2 :UInt32;  # of their heartbeats, joined by exclusive or
  ageMs @3 :UInt32;
}

struct Digest {
  news @0 :List(AgedHeartbeat);
  alive @1 :List(AliveProxy);
  rolls @2 :List(Roll);
  sender @3 :Text;
  configVersion @4 :UInt64;  # that the sender has in force
  configAge @5 :UInt32;      # as in its heartbeat
}

struct EndpointList {
  version @0 :UInt64;    # of the platform's store, when it was read
  entries @1 :Data;      # JSON; empty in a question
  passOn @2 :Bool;       # asks the receiver to tell its failure domain
}

struct TermBound {
  # Asks to give up, or says to have given up, permissions below a term.
  site @0 :Text;
  group @1 :Text;
  below @2 :UInt64;
  proxy @3 :Text;        # who answers; empty in a question
}

struct RowNews {
  site @0 :Text;
  group @1 :Text;
  row @2 :Data;          # JSON, as in the platform's table
  passOn @3 :Bool;       # asks the receiver to tell its failure domain
}

struct ConfigContent {
  version @0 :UInt64;
  sha256 @1 :Text;
  document @2 :Data;     # of older proxies, not compressed
  packed @3 :Data;       # compressed; empty in a question
}

struct Forward {
  # A caller's request that another proxy serves.
  site @0 :Text;
  group @1 :Text;
  request @2 :Data;      # JSON; times count from its arrival
}

struct Forwarded {
  answer @0 :Data;       # JSON; times count from its sending
}

struct GroupName {
  site @0 :Text;
  group @1 :Text;
}

struct MemberGrant {
  member @0 :Text;
  promised @1 :UInt64;
  ageUs @2 :UInt64;      # since the endpoint was asked, at least
}

struct GroupEvidence {
  site @0 :Text;
  group @1 :Text;
  term @2 :UInt64;
  grants @3 :List(MemberGrant);
  position @4 :Int64;    # of the primary's log; -1 if it isn't known
  positionAgeUs @5 :UInt64;
}

struct QuotaAsk {
  # Asks a tenant's keeper to grant an operation.
  tenant @0 :Text;
  rate @1 :Float64;       # operations a second, as the asker knows it
  burst @2 :Float64;
  configVersion @3 :UInt64;
  patience @4 :Float64;   # seconds that the operation can wait
  insteadOf @5 :Text;     # domain of a keeper that did not answer
}

struct QuotaGrant {
  granted @0 :Bool;
  wait @1 :Float64;       # seconds
  part @2 :Float32;       # of all proxies that the keeper sees
  at @3 :Float64;         # when it counts, by the keeper's clock
}

struct QuotaBack {
  # Gives a grant back that was not used.
  tenant @0 :Text;
  at @1 :Float64;         # when it counted, as the grant says
}

struct PeerMessage {
  number @0 :UInt64;     # an answer bears the number of its question
  union {
    heartbeat @1 :Heartbeat;
    giveUp @2 :TermBound;
    gaveUp @3 :TermBound;
    rowNews @4 :RowNews;
    askConfig @5 :ConfigContent;
    config @6 :ConfigContent;
    forward @7 :Forward;
    forwarded @8 :Forwarded;
    askEvidence @9 :List(GroupName);
    evidence @10 :List(GroupEvidence);
    probe @11 :Void;       # asks whether the connection still works
    probed @12 :Void;
    digest @13 :Digest;
    askEndpoints @14 :EndpointList;
    endpoints @15 :EndpointList;
    askDomain @16 :Text;   # asks for the heartbeats of a failure domain
    askQuota @18 :QuotaAsk;
    quota @19 :QuotaGrant;
    quotaBack @20 :QuotaBack;
  }
  known @17 :List(UInt32);  # revisions of those that are known already
}
