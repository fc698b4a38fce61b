// Replicates the configuration and the endpoint list to every box within
// seconds.
//
// In each hall, two boxes (chosen by rendezvous hashing over the running ones)
// watch the platform's key-value service for each document. A box that adopts a
// new version announces it at once. Heartbeats carry the versions too, so a box
// that missed the announcement still learns of the version and fetches the body
// from a peer that has it. The load on the store therefore grows with the
// number of halls, not of boxes.
//
// A box is ready once it has both documents: from the store or, during an
// outage of the store, the highest versions that its peers have.

#ifndef PINFORD_DOCUMENTS_H_
#define PINFORD_DOCUMENTS_H_

#include <functional>
#include <map>
#include <string>

#include "pinford/box_context.h"
#include "pinford/configuration.h"
#include "pinford/peer_link.h"
#include "pinford/replicated_document.h"

namespace pinford {

class Documents {
 public:
  Documents(BoxContext* context, PeerLink* link);

  // Reads both documents from the store, and retries until it answers.
  void Start();
  // Starts the watches and peer fetches that are due. Call it frequently.
  void Tick();

  // The configuration in force. Its generation is 0 before the first one.
  const Configuration& configuration() const { return configuration_; }
  // Adopts a configuration whose submission was just accepted on this box.
  void AdoptAccepted(const Configuration& configuration);

  // Whether each document is known, or known to be absent.
  bool ready() const { return known_[0] && known_[1]; }
  // The reply to a peer's fetch.
  FetchReply MakeFetchReply(DocumentKind kind) const;

  // `fn` announces a new version to the peers. Called after each adoption,
  // since an announcement reaches a few boxes and is passed on by them.
  void set_announce(std::function<void()> fn) { announce_ = std::move(fn); }

 private:
  static constexpr int kWatchersPerHall = 2;

  bool AdoptConfiguration(uint64_t version, const std::string& body);
  bool AdoptEndpoints(uint64_t version, const std::string& body);
  void Read(DocumentKind kind);
  void Watch(DocumentKind kind);
  void OnStoreValue(DocumentKind kind, const StoreResult& r);
  // Adopts the version, and announces it, if it is new.
  void Offer(DocumentKind kind, uint64_t version, const std::string& body);
  void FetchFromPeers(DocumentKind kind);

  BoxContext* context_;
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
