// How the two documents reach every box within seconds.
//
// In each hall, two boxes (by rendezvous hashing over those that live) wait
// on the platform's service for each document. Whoever adopts a new version
// announces it at once; every heartbeat carries the versions too, so a box
// that missed the announcement learns of it all the same and fetches the body
// from the peer that has it. The store's load thus goes with the halls, not
// with the boxes.
//
// A box is ready once it has its documents: from the store, or in an outage
// the highest that its peers have.

#ifndef PINFORD_DOCUMENTS_H_
#define PINFORD_DOCUMENTS_H_

#include <functional>
#include <map>
#include <string>

#include "pinford/box_parts.h"
#include "pinford/configuration.h"
#include "pinford/peer_link.h"
#include "pinford/replicated_document.h"

namespace pinford {

class Documents {
 public:
  Documents(BoxParts* parts, PeerLink* link);

  // Asks the store for both documents, and again until it has answered.
  void Start();
  // Does what is due: watches, fetches from peers. Call it often.
  void Tick();

  // The configuration in force; generation 0 before the first.
  const Configuration& configuration() const { return configuration_; }
  // Takes a configuration that was just accepted here.
  void AdoptAccepted(const Configuration& configuration);

  // Whether each document is known, if only to be absent.
  bool ready() const { return known_[0] && known_[1]; }
  // Answers a peer.
  FetchReply Body(DocumentKind kind) const;

  // Tells the peers of a new version at once.
  void set_announce(std::function<void()> fn) { announce_ = std::move(fn); }

 private:
  static constexpr int kWatchersPerHall = 2;  // a hall

  bool AdoptConfiguration(uint64_t version, const std::string& body);
  bool AdoptEndpoints(uint64_t version, const std::string& body);
  void Read(DocumentKind kind);
  void Watch(DocumentKind kind);
  void OnStoreValue(DocumentKind kind, const StoreResult& r);
  // True if the version is new here and was adopted.
  bool Offer(DocumentKind kind, uint64_t version, const std::string& body);
  void FetchFromPeers(DocumentKind kind);

  BoxParts* parts_;
  PeerLink* link_;
  Configuration configuration_;
  ReplicatedDocument documents_[kDocumentKinds];
  StoreRevision store_revision_[kDocumentKinds];
  bool known_[kDocumentKinds] = {};
  bool reading_[kDocumentKinds] = {};
  bool watching_[kDocumentKinds] = {};
  bool fetching_[kDocumentKinds] = {};
  std::function<void()> announce_ = [] {};
};

}  // namespace pinford

#endif  // PINFORD_DOCUMENTS_H_
