#include "daisyspool/journal/Entry.h"

#include <openssl/sha.h>

#include <cstdio>

namespace daisyspool {

namespace {

template <typename T> std::string encode(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

template <typename T> T decode(const std::string &Value, const char *RowName) {
  try {
    return msgpack::unpack(Value.data(), Value.size()).get().as<T>();
  } catch (const std::exception &Cause) {
    throw JournalCorrupt(std::string(RowName) + ": " + Cause.what());
  }
}

} // namespace

std::string sha256(std::string_view Bytes) {
  std::string Digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         reinterpret_cast<unsigned char *>(Digest.data()));
  return Digest;
}

std::string encodeHead(const JournalHead &Head) { return encode(Head); }

JournalHead decodeHead(const std::string &Value) {
  return decode<JournalHead>(Value, "head row");
}

std::string encodeEntry(const JournalEntry &Entry) { return encode(Entry); }

JournalEntry decodeEntry(const std::string &Value) {
  return decode<JournalEntry>(Value, "entry row");
}

std::string entrySortKey(SequenceNumber Sequence) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "entry/%020llu",
                static_cast<unsigned long long>(Sequence.value()));
  return Text;
}

std::string shardPartition(ShardId Shard) {
  return "shard/" + std::to_string(Shard.value());
}

std::string servedPartition(const ProcessId &Process) {
  return "served/" + Process.str();
}

} // namespace daisyspool
