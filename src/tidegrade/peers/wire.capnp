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
  host @5 :Text;         # where this proxy accepts connections of peers
  port @6 :UInt16;
  passOn @7 :Bool;       # asks the receiver to forward it
  blind @8 :Bool;        # the platform does not answer this proxy
  configAge @9 :UInt32;  # ms since its configuration was known to be the
                         # newest, plus one; 0: not known
  storeGeneration @10 :UInt32;  # latest known one of the platform's table
  capacity @11 :UInt32;  # of its VM, in thousandths of a core; 0: not known
}

struct AgedHeartbeat {
  beat @0 :Heartbeat;
  ageMs @1 :UInt32;      # since it was received, at least
}

struct AliveProxy {
  proxy @0 :Text;
  ageMs @1 :UInt32;
  revision @2 :UInt32;   # of the heartbeat's content
}

struct Roll {
  # Summarizes proxies of a failure domain, all heard within ageMs.
  domain @0 :Text;
  count @1 :UInt16;
  revisions @2 :UInt32;  # of their heartbeats, combined by exclusive or
  ageMs @3 :UInt32;
}

struct DomainContact {
  domain @0 :Text;
  ageMs @1 :UInt32;      # since a proxy there last sent the sender a message
}

struct Digest {
  news @0 :List(AgedHeartbeat);
  alive @1 :List(AliveProxy);
  rolls @2 :List(Roll);
  sender @3 :Text;
  configVersion @4 :UInt64;  # of the configuration in force at the sender
  configAge @5 :UInt32;      # as in its heartbeat
  contacts @6 :List(DomainContact);  # only within a domain
  hasContacts @7 :Bool;  # whether contacts are stated, even if there are none
}

struct EndpointList {
  version @0 :UInt64;    # of the platform's store, when it was read
  entries @1 :Data;      # JSON; empty in a request
  passOn @2 :Bool;       # asks the receiver to forward it in its domain
}

struct TermBound {
  # Asks a proxy to give up permissions of terms below a bound, or confirms
  # that it did.
  site @0 :Text;
  group @1 :Text;
  below @2 :UInt64;
  proxy @3 :Text;        # the one that answers; empty in a request
}

struct RowNews {
  site @0 :Text;
  group @1 :Text;
  row @2 :Data;          # JSON, as in the platform's table
  passOn @3 :Bool;       # asks the receiver to forward it in its domain
}

struct ConfigContent {
  version @0 :UInt64;
  sha256 @1 :Text;
  document @2 :Data;     # not compressed; sent by older proxies
  packed @3 :Data;       # compressed; empty in a request
}

struct Forward {
  # A caller's request that is forwarded to another proxy.
  site @0 :Text;
  group @1 :Text;
  request @2 :Data;      # JSON; times count from its arrival
  simple @3 :Bool;       # only UTF-8 text and integers of up to 64 bits
}

struct Forwarded {
  answer @0 :Data;       # JSON; times count from its sending
  simple @1 :Bool;       # as in Forward
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
  heldForUs @6 :UInt64;  # how long the sender still holds the permission of
                         # the term; 0: it doesn't
}

struct QuotaAsk {
  # Asks the owner of a tenant's quota to admit an operation.
  tenant @0 :Text;
  rate @1 :Float64;       # operations a second, as the sender knows it
  burst @2 :Float64;
  configVersion @3 :UInt64;
  patience @4 :Float64;   # seconds that the operation can wait
  insteadOf @5 :Text;     # domain of the usual owner, which did not answer
  priority @6 :UInt8;     # of the operation; 0 is the most urgent
  passedOn @7 :Bool;      # a former owner sends it on for another proxy
}

struct QuotaGrant {
  granted @0 :Bool;
  wait @1 :Float64;       # seconds
  part @2 :Float32;       # share of all proxies that the owner sees,
                          # and of the limit that it grants
  at @3 :Float64;         # when it counts, in seconds of the owner's clock
  reserved @4 :Bool;      # refused to keep a reserve for urgent operations
}

struct QuotaBack {
  # Returns a grant that was not used.
  tenant @0 :Text;
  at @1 :Float64;         # when it counted, as in the grant
}

struct QuotaHandover {
  # Hands the bucket of a tenant over to its next owner.
  tenant @0 :Text;
  level @1 :Float64;      # operations; below 0 if some wait for their start
  sender @2 :Text;        # the proxy that was the owner
}

struct PeerMessage {
  number @0 :UInt64;     # an answer has the number of its request
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
    askDomain @16 :Text;   # requests the heartbeats of a failure domain
    askQuota @18 :QuotaAsk;
    quota @19 :QuotaGrant;
    quotaBack @20 :QuotaBack;
    quotaTaken @21 :Text;  # tenant for which a fallback owner granted one
    quotaHandover @22 :QuotaHandover;
  }
  known @17 :List(UInt32);  # askDomain: revisions that the sender knows already
}
