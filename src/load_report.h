#ifndef GENTIANDEAL_SRC_LOAD_REPORT_H_
#define GENTIANDEAL_SRC_LOAD_REPORT_H_

#include <vector>

#include "gentiandeal_p.h"
#include "peer_wire.h"

namespace gentiandeal {

/// Counts the slots that this instance uses at the workers of its data centre,
/// and encodes and decodes load reports. A report has two forms. Counts by rank
/// are shorter, but need the same list of workers on both sides. Entries by
/// name hash work when the lists differ.
class LoadReport {
 public:
  /// Replaces the list of workers. Workers that stay keep their counts.
  /// @param peers Counts by rank of each peer; moved to the new ranks.
  void SetWorkers(const std::vector<WorkerInfo>& workers,
                  const std::vector<std::vector<uint8_t>*>& peers);

  /// Digest of the list of workers; invalid when the list is empty.
  NameHash digest() const { return digest_; }
  size_t size() const { return workers_.size(); }
  const Address& worker(size_t rank) const { return workers_[rank].address_; }

  /// Sets the slots that this instance uses at a worker; saturates at 255.
  void SetInUse(size_t rank, uint16_t in_use);

  /// Whether any count differs from the last one sent.
  bool changed() const { return changed_ != 0; }

  /// Fills a report for a peer that has the same list of workers: entries of
  /// the changed counts or all counts by rank, whichever is shorter.
  void FillChanges(LoadDatagram* out) const;
  /// Fills all counts by rank, for a peer that has the same list of workers.
  void FillAll(LoadDatagram* out) const;
  /// Returns entries by name hash: of all workers, or of the changed counts.
  std::vector<WireWorkerUsage> Entries(bool all) const;
  /// Marks all counts as sent.
  void MarkSent();

  /// Applies a peer's report to the counts kept for that peer.
  /// @returns the counts that changed, for the worker table.
  std::vector<PeerLoad::Entry> Apply(const LoadDatagram& report,
                                     std::vector<uint8_t>* counts) const;

 private:
  struct Worker {
    NameHash hash_;
    Address address_;
    uint8_t in_use_ = 0;
    uint8_t sent_in_use_ = 0;
  };

  std::vector<Worker> workers_;  ///< Ordered by hash, then address.
  NameHash digest_;
  size_t changed_ = 0;  ///< Workers whose count differs from the sent one.
};

}  // namespace gentiandeal

#endif  // GENTIANDEAL_SRC_LOAD_REPORT_H_
