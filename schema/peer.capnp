@0xd5a1f2c4b7e39068;

# Control messages between instances. Times are durations in milliseconds,
# never wall-clock times; services and policies are named by their position
# in the declaration of the revision that the message carries.

struct Id {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Member {
  id @0 :Id;
  caller @1 :Text;
  relay @2 :Text;
  peer @3 :Text;
  # Time since this run of the instance began, in milliseconds.
  uptime @4 :UInt64;
}

struct Hello {
  protocol @0 :UInt16;
  cluster @1 :Text;
  hall @2 :Text;
  member @3 :Member;
}

struct Load {
  service @0 :UInt16;
  slots @1 :UInt32;
  flight @2 :UInt32;
  waitUs @3 :UInt32;
  serviceUs @4 :UInt32;
}

struct Step {
  policy @0 :UInt16;
  # Fraction reached by a planned shift, in millionths.
  fraction @1 :UInt32;
}

struct Probe {
  target @0 :UInt16;
  leaving @1 :Bool;
}

struct Beat {
  epoch @0 :UInt64;
  confirmed @1 :UInt64;
  revision @2 :UInt64;
  leaving @3 :Bool;
  uptime @4 :UInt64;
  loads @5 :List(Load);
  steps @6 :List(Step);
  probes @7 :List(Probe);
}

struct Known {
  hall @0 :Text;
  version @1 :UInt64;
  roster @2 :UInt64;
}

struct News {
  hall @0 :Text;
  version @1 :UInt64;
  age @2 :UInt32;
  revision @3 :UInt64;
  loads @4 :List(Load);
  steps @5 :List(Step);
  # Version of the roster; the members are sent only where it is new to the
  # asker.
  roster @6 :UInt64;
  members @7 :List(Member);
}

struct Grant {
  service @0 :UInt16;
  # Position of the target among the hall's targets of the service.
  target @1 :UInt16;
  slots @2 :UInt16;
}

interface Gate {
  challenge @0 () -> (nonce :Data);
  enter @1 (hello :Hello, nonce :Data, proof :Data) -> (peer :Peer, hello :Hello, proof :Data);
}

interface Peer {
  # A heartbeat within a hall; the reply promises not to take over the
  # sender's leased share for `promise` milliseconds after its sending.
  beat @0 (beat :Beat) -> (beat :Beat, promise :UInt64);
  # Hall summaries that are newer than the known ones.
  news @1 (known :List(Known)) -> (news :List(News));
  # The newest membership record of the answerer's hall, as JSON.
  record @2 () -> (value :Data);
  # The newest configuration above `after`; revision 0 where there is none.
  config @3 (after :UInt64) -> (revision :UInt64, value :Data);
  # Asks for free slots of a service, lent for `ttl` milliseconds.
  borrow @4 (service :UInt16, revision :UInt64, want :UInt16) -> (contract :UInt64, grants :List(Grant), ttl :UInt64);
  # Gives a contract back: nothing runs on it any more.
  giveBack @5 (contract :UInt64) -> ();
  # The account of a decision of the answerer, as JSON; empty where it has none.
  explain @6 (decision :Text) -> (account :Text);
}
