#ifndef GENTIANDEAL_SRC_LOAD_REPORT_H_
#define GENTIANDEAL_SRC_LOAD_REPORT_H_

#include <vector>

#include "gentiandeal_p.h"
#include "peer_wire.h"

namespace gentiandeal {

/// Slots in use at the workers of this data centre, and their wire forms.
/// Counts by rank are the shorter form and need the same list of workers on
/// both sides; entries by name hash serve where the lists differ.
class LoadReport {
 public:
  /// Replaces the list; counts of known workers are kept.
  /// @param peers Counts by rank of each peer; carried over as well.
  void SetWorkers(const std::vector<WorkerInfo>& workers,
                  const std::vector<std::vector<uint8_t>*>& peers);

  /// Digest of the list; invalid when it is empty.
  NameHash digest() const { return digest_; }
  size_t size() const { return workers_.size(); }
  const Address& worker(size_t rank) const { return workers_[rank].address_; }

  /// Sets the slots in use here.
  void SetInUse(size_t rank, uint16_t in_use);

  /// Whether a count differs from the last one that was sent.
  bool changed() const { return changed_ != 0; }

  /// Fills the shorter form of what changed for a peer with this list.
  void FillChanges(LoadDatagram* out) const;
  /// Fills all counts for a peer with this list.
  void FillAll(LoadDatagram* out) const;
  /// Entries by name hash: what changed, or all of it.
  std::vector<WireWorkerUse> Entries(bool all) const;
  /// Marks everything as sent.
  void MarkSent();

  /// Takes a peer's report into its counts.
  /// @returns what changed, for the worker table.
  std::vector<PeerLoad::Entry> Apply(const LoadDatagram& report,
                                     std::vector<uint8_t>* counts) const;

 private:
  struct Worker {
    NameHash hash_;
    Address address_;
    uint8_t in_use_ = 0;
    uint8_t sent_ = 0;
  };

  std::vector<Worker> workers_;  ///< Ordered by hash, then address.
  NameHash digest_;
  size_t changed_ = 0;
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LOAD_REPORT_H_
