#include "ibis/wire/codec.hpp"

#include <cstring>  // for memcpy
#include <utility>  // for move

#include "ibis/wire/generated/frames_generated.h"  // for fb::frame

namespace ibis::wire {
namespace {

using builder = flatbuffers::FlatBufferBuilder;

constexpr unsigned bits_per_byte = 8;

base::error protocol_error(std::string detail) {
  return {base::error_code::protocol, "decode frame", "", std::move(detail)};
}

std::string read_string(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

template <typename T>
std::vector<T> read_numbers(const flatbuffers::Vector<T>* numbers) {
  return numbers == nullptr ? std::vector<T>()
                            : std::vector<T>(numbers->begin(), numbers->end());
}

template <typename Value, typename Source, typename ReadItem>
std::vector<Value> read_list(const Source* source, ReadItem read_item) {
  std::vector<Value> values;
  if (source == nullptr) {
    return values;
  }
  values.reserve(source->size());
  for (const auto* item : *source) {
    values.push_back(read_item(*item));
  }
  return values;
}

template <typename Value, typename WriteItem>
auto write_list(builder& out, const std::vector<Value>& values, WriteItem write_item) {
  std::vector<decltype(write_item(out, values.front()))> offsets;
  offsets.reserve(values.size());
  for (const Value& value : values) {
    offsets.push_back(write_item(out, value));
  }
  return out.CreateVector(offsets);
}

auto write_member(builder& out, const member& value) {
  return fb::CreatememberDirect(
      out, value.node.c_str(), value.vm.c_str(), value.zone.c_str(), value.role.c_str(),
      value.address.c_str(), value.http.c_str(), value.incarnation,
      static_cast<std::uint8_t>(value.status));
}

auto write_covered(builder& out, const covered_shard& value) {
  return fb::Createcovered_shardDirect(out, value.index, value.signature.c_str());
}

auto write_failed(builder& out, const failed_shard& value) {
  return fb::Createfailed_shard(out, value.index, value.sent);
}

auto write_leaving(builder& out, const leaving_leaf& value) {
  const auto leaf = out.CreateString(value.leaf);
  return fb::Createleaving_leaf(out, leaf, value.started_at.count());
}

auto write_tags(builder& out, const std::vector<std::uint32_t>& value) {
  return fb::Createleaf_tagsDirect(out, &value);
}

member read_member(const fb::member& source) {
  return {read_string(source.node()),    read_string(source.vm()),
          read_string(source.zone()),    read_string(source.role()),
          read_string(source.address()), read_string(source.http()),
          source.incarnation(),          static_cast<member_status>(source.status())};
}

auto write_hit(builder& out, const hit& value) {
  return fb::CreatehitDirect(out, value.id.c_str(), value.score, value.shard,
                             value.body.c_str());
}

auto write_missing(builder& out, const missing_shard& value) {
  return fb::Createmissing_shard(out, value.shard,
                                 static_cast<std::uint8_t>(value.reason));
}

auto write_range(builder& out, const version_range& value) {
  return fb::Createversion_range(out, value.group, value.oldest, value.newest);
}

auto write_part(builder& out, const part& value) {
  const auto name = out.CreateString(value.name);
  const auto bytes = out.CreateString(value.bytes);
  return fb::Createpart(out, name, bytes);
}

/// Writes a message as the body of a frame. Each overload selects the union's member
/// for its message type.
struct body_writer {
  builder& out;  // NOLINT(*-avoid-const-or-ref-data-members)

  auto finish(fb::body type, flatbuffers::Offset<void> offset) const {
    out.Finish(fb::Createframe(out, type, offset));
  }
  void operator()(const hello& value) const {
    finish(fb::body::hello,
           fb::CreatehelloDirect(out, value.node.c_str(), value.vm.c_str(),
                                 value.zone.c_str(), value.role.c_str(),
                                 value.address.c_str(),
                                 static_cast<std::uint8_t>(value.channel))
               .Union());
  }
  void operator()(const block_request& value) const {
    const auto service = out.CreateString(value.service);
    const auto groups = out.CreateVector(value.groups);
    const auto query = out.CreateString(value.query);
    const auto tenant = out.CreateString(value.tenant);
    const auto key = out.CreateString(value.idempotency_key);
    finish(fb::body::block_request,
           fb::Createblock_request(
               out, value.call.value, static_cast<std::uint8_t>(value.kind), service,
               value.partition_epoch, value.index_version, value.block, groups, query,
               value.limit, static_cast<std::uint8_t>(value.priority), tenant,
               value.budget.count(), value.early_reply.count(), key, value.shard)
               .Union());
  }
  void operator()(const block_reply& value) const {
    const auto covered = out.CreateVector(value.covered);
    const auto missing = write_list(out, value.missing, write_missing);
    const auto hits = write_list(out, value.hits, write_hit);
    const auto versions = write_list(out, value.versions, write_range);
    const auto result = out.CreateString(value.result);
    finish(
        fb::body::block_reply,
        fb::Createblock_reply(out, value.call.value, value.final, value.index_version,
                              covered, missing, hits, versions, value.may_have_run,
                              value.attempts, value.hedges, value.retries, result)
            .Union());
  }
  void operator()(const block_cancel& value) const {
    finish(fb::body::block_cancel,
           fb::Createblock_cancel(out, value.call.value).Union());
  }
  void operator()(const probe& value) const {
    const auto node = out.CreateString(value.node);
    const auto updates = write_list(out, value.updates, write_member);
    finish(
        fb::body::probe,
        fb::Createprobe(out, value.sequence, node, value.generation, updates).Union());
  }
  void operator()(const probe_ack& value) const {
    const auto node = out.CreateString(value.node);
    const auto updates = write_list(out, value.updates, write_member);
    finish(fb::body::probe_ack,
           fb::Createprobe_ack(out, value.sequence, node, value.generation, updates)
               .Union());
  }
  void operator()(const probe_request& value) const {
    finish(fb::body::probe_request,
           fb::Createprobe_requestDirect(out, value.sequence, value.node.c_str(),
                                         value.target.c_str())
               .Union());
  }
  void operator()(const topic_watch& value) const {
    finish(fb::body::topic_watch, fb::Createtopic_watch(out, value.serial, value.topic,
                                                        value.revision, value.era)
                                      .Union());
  }
  void operator()(const topic_news& value) const {
    const auto texts = out.CreateVectorOfStrings(value.texts);
    finish(fb::body::topic_news,
           fb::Createtopic_news(
               out, value.serial, value.topic, value.kind, value.revision, texts,
               static_cast<std::uint64_t>(value.age.count()), value.era)
               .Union());
  }
  void operator()(const shards_request& value) const {
    const auto route = out.CreateString(value.route);
    const auto method = out.CreateString(value.method);
    const auto target = out.CreateString(value.target);
    const auto host = out.CreateString(value.host);
    const auto request_id = out.CreateString(value.request_id);
    const auto head = out.CreateString(value.head);
    const auto body = out.CreateString(value.body);
    const auto shards = out.CreateVectorOfStrings(value.shards);
    const auto allowed = write_list(out, value.allowed_leafs, write_tags);
    const auto account = out.CreateString(value.account);
    finish(fb::body::shards_request,
           fb::Createshards_request(
               out, value.call.value, route, method, target, host, request_id, head,
               body, shards, value.top, value.min_shard_share, value.max_leafs,
               value.priority, value.objective.count(), value.progress.count(),
               value.reply.count(), value.remaining.count(), value.sent_at.count(),
               value.sent_before, allowed, account)
               .Union());
  }
  void operator()(const shards_reply& value) const {
    const auto covered = write_list(out, value.covered, write_covered);
    const auto failed = write_list(out, value.failed, write_failed);
    const auto records = out.CreateString(value.records);
    const auto leaving_leafs = write_list(out, value.leaving_leafs, write_leaving);
    finish(fb::body::shards_reply,
           fb::Createshards_reply(out, value.call.value, value.final, value.leaving,
                                  covered, failed, records, leaving_leafs)
               .Union());
  }
  void operator()(const quota_request& value) const {
    const auto account = out.CreateString(value.account);
    finish(fb::body::quota_request,
           fb::Createquota_request(out, account, value.serial, value.kind, value.wanted,
                                   value.urgent, value.returned, value.returned_grant,
                                   value.used_locally, value.version)
               .Union());
  }
  void operator()(const quota_grant& value) const {
    const auto account = out.CreateString(value.account);
    const auto owner = out.CreateString(value.owner);
    finish(fb::body::quota_grant,
           fb::Createquota_grant(out, account, value.serial, value.tokens,
                                 value.validity.count(), value.retry_after.count(),
                                 value.version, owner, value.released, value.contended)
               .Union());
  }
  void operator()(const part_request& value) const {
    const auto names = out.CreateVectorOfStrings(value.names);
    finish(fb::body::part_request, fb::Createpart_request(out, names).Union());
  }
  void operator()(const part_reply& value) const {
    const auto parts = write_list(out, value.parts, write_part);
    finish(fb::body::part_reply, fb::Createpart_reply(out, parts).Union());
  }
  void operator()(const generation_ack& value) const {
    finish(fb::body::generation_ack,
           fb::Creategeneration_ackDirect(out, value.node.c_str(), value.zone.c_str(),
                                          value.generation)
               .Union());
  }
};

base::result<message> read(const fb::hello& source) {
  if (source.channel() > static_cast<std::uint8_t>(channel::data)) {
    return protocol_error("unknown channel");
  }
  return message(hello{read_string(source.node()), read_string(source.vm()),
                       read_string(source.zone()), read_string(source.role()),
                       read_string(source.address()),
                       static_cast<channel>(source.channel())});
}

base::result<message> read(const fb::block_request& source) {
  if (source.kind() > static_cast<std::uint8_t>(request_kind::submit)) {
    return protocol_error("unknown request kind");
  }
  if (source.priority() > static_cast<std::uint8_t>(priority::interactive)) {
    return protocol_error("unknown priority");
  }
  block_request value;
  value.call = {source.call()};
  value.kind = static_cast<request_kind>(source.kind());
  value.service = read_string(source.service());
  value.partition_epoch = source.partition_epoch();
  value.index_version = source.index_version();
  value.block = source.block();
  value.groups = read_numbers(source.groups());
  value.query = read_string(source.query());
  value.limit = source.limit();
  value.priority = static_cast<priority>(source.priority());
  value.tenant = read_string(source.tenant());
  value.budget = base::microseconds(source.budget_us());
  value.early_reply = base::microseconds(source.early_reply_us());
  value.idempotency_key = read_string(source.idempotency_key());
  value.shard = source.shard();
  return message(std::move(value));
}

base::result<message> read(const fb::block_reply& source) {
  block_reply value;
  value.call = {source.call()};
  value.final = source.final();
  value.index_version = source.index_version();
  value.covered = read_numbers(source.covered());
  bool known_reasons = true;
  value.missing = read_list<missing_shard>(source.missing(), [&](const auto& item) {
    known_reasons = known_reasons && item.reason() <= static_cast<std::uint8_t>(
                                                          missing_reason::no_holder);
    return missing_shard{item.shard(), static_cast<missing_reason>(item.reason())};
  });
  if (!known_reasons) {
    return protocol_error("unknown reason for a missing shard");
  }
  value.hits = read_list<hit>(source.hits(), [](const auto& item) {
    return hit{read_string(item.id()), item.score(), item.shard(),
               read_string(item.body())};
  });
  value.versions = read_list<version_range>(source.versions(), [](const auto& item) {
    return version_range{item.group(), item.oldest(), item.newest()};
  });
  value.may_have_run = source.may_have_run();
  value.attempts = source.attempts();
  value.hedges = source.hedges();
  value.retries = source.retries();
  value.result = read_string(source.result());
  return message(std::move(value));
}

template <typename Value, typename Source>
base::result<message> read_probe_message(const Source& source) {
  Value value;
  value.sequence = source.sequence();
  value.node = read_string(source.node());
  value.generation = source.generation();
  bool known_status = true;
  value.updates = read_list<member>(source.updates(), [&](const auto& item) {
    known_status =
        known_status && item.status() <= static_cast<std::uint8_t>(member_status::dead);
    return read_member(item);
  });
  if (!known_status) {
    return protocol_error("unknown member status");
  }
  return message(std::move(value));
}

message read(const fb::part_request& source) {
  part_request value;
  if (source.names() != nullptr) {
    for (const auto* name : *source.names()) {
      value.names.push_back(read_string(name));
    }
  }
  return value;
}

message read(const fb::topic_news& source) {
  topic_news value{source.serial(),
                   source.topic(),
                   source.kind(),
                   source.revision(),
                   {},
                   base::milliseconds(source.age_ms()),
                   source.era()};
  if (source.texts() != nullptr) {
    for (const auto* text : *source.texts()) {
      value.texts.push_back(read_string(text));
    }
  }
  return value;
}

message read(const fb::shards_request& source) {
  shards_request value;
  value.call = base::block_call_id{source.call()};
  value.route = read_string(source.route());
  value.method = read_string(source.method());
  value.target = read_string(source.target());
  value.host = read_string(source.host());
  value.request_id = read_string(source.request_id());
  value.head = read_string(source.head());
  value.body = read_string(source.body());
  if (source.shards() != nullptr) {
    for (const auto* shard : *source.shards()) {
      value.shards.push_back(read_string(shard));
    }
  }
  value.top = source.top();
  value.min_shard_share = source.min_shard_share();
  value.max_leafs = source.max_leafs();
  value.priority = source.priority();
  value.objective = base::microseconds(source.objective_us());
  value.progress = base::microseconds(source.progress_us());
  value.reply = base::microseconds(source.reply_us());
  value.remaining = base::microseconds(source.remaining_us());
  value.sent_at = base::microseconds(source.sent_at_us());
  value.sent_before = source.sent_before();
  value.account = read_string(source.account());
  value.allowed_leafs = read_list<std::vector<std::uint32_t>>(
      source.allowed_leafs(),
      [](const auto& item) { return read_numbers(item.tags()); });
  return value;
}

message read(const fb::shards_reply& source) {
  shards_reply value;
  value.call = base::block_call_id{source.call()};
  value.final = source.final();
  value.leaving = source.leaving();
  value.covered = read_list<covered_shard>(source.covered(), [](const auto& item) {
    return covered_shard{item.index(), read_string(item.signature())};
  });
  value.failed = read_list<failed_shard>(source.failed(), [](const auto& item) {
    return failed_shard{item.index(), item.sent()};
  });
  value.records = read_string(source.records());
  value.leaving_leafs =
      read_list<leaving_leaf>(source.leaving_leafs(), [](const auto& item) {
        return leaving_leaf{read_string(item.leaf()),
                            base::milliseconds(item.started_at_ms())};
      });
  return value;
}

message read(const fb::quota_request& source) {
  quota_request value;
  value.account = read_string(source.account());
  value.serial = source.serial();
  value.kind = source.kind();
  value.wanted = source.wanted();
  value.urgent = source.urgent();
  value.returned = source.returned();
  value.returned_grant = source.returned_grant();
  value.used_locally = source.used_locally();
  value.version = source.version();
  return value;
}

message read(const fb::quota_grant& source) {
  quota_grant value;
  value.account = read_string(source.account());
  value.serial = source.serial();
  value.tokens = source.tokens();
  value.validity = base::milliseconds(source.validity_ms());
  value.retry_after = base::milliseconds(source.retry_after_ms());
  value.version = source.version();
  value.owner = read_string(source.owner());
  value.released = source.released();
  value.contended = source.contended();
  return value;
}

message read(const fb::part_reply& source) {
  return part_reply{read_list<part>(source.parts(), [](const auto& item) {
    return part{read_string(item.name()), read_string(item.bytes())};
  })};
}

/// Verifies and decodes a body whose start suits all types of its values.
base::result<message> decode_aligned_body(std::span<const std::uint8_t> body) {
  flatbuffers::Verifier verifier(body.data(), body.size());
  if (!fb::VerifyframeBuffer(verifier)) {
    return protocol_error("the frame is malformed");
  }
  const fb::frame& frame = *fb::Getframe(body.data());
  if (frame.body() == nullptr) {
    return protocol_error("the frame has no body");
  }
  switch (frame.body_type()) {
    case fb::body::hello:
      return read(*frame.body_as_hello());
    case fb::body::block_request:
      return read(*frame.body_as_block_request());
    case fb::body::block_reply:
      return read(*frame.body_as_block_reply());
    case fb::body::block_cancel:
      return message(block_cancel{{frame.body_as_block_cancel()->call()}});
    case fb::body::probe:
      return read_probe_message<probe>(*frame.body_as_probe());
    case fb::body::probe_ack:
      return read_probe_message<probe_ack>(*frame.body_as_probe_ack());
    case fb::body::probe_request: {
      const auto& source = *frame.body_as_probe_request();
      return message(probe_request{source.sequence(), read_string(source.node()),
                                   read_string(source.target())});
    }
    case fb::body::part_request:
      return read(*frame.body_as_part_request());
    case fb::body::part_reply:
      return read(*frame.body_as_part_reply());
    case fb::body::topic_watch: {
      const auto& source = *frame.body_as_topic_watch();
      return message(topic_watch{source.serial(), source.topic(), source.revision(),
                                 source.era()});
    }
    case fb::body::topic_news:
      return read(*frame.body_as_topic_news());
    case fb::body::generation_ack: {
      const auto& source = *frame.body_as_generation_ack();
      return message(generation_ack{read_string(source.node()),
                                    read_string(source.zone()), source.generation()});
    }
    case fb::body::shards_request:
      return read(*frame.body_as_shards_request());
    case fb::body::shards_reply:
      return read(*frame.body_as_shards_reply());
    case fb::body::quota_request:
      return read(*frame.body_as_quota_request());
    case fb::body::quota_grant:
      return read(*frame.body_as_quota_grant());
    case fb::body::NONE:
      break;
  }
  return protocol_error("unknown message type");
}

}  // namespace

std::string encode(const message& value) {
  builder out;
  std::visit(body_writer{out}, value);
  const std::size_t size = out.GetSize();
  std::string frame;
  frame.reserve(header_size + size);
  for (unsigned byte = 0; byte < header_size - 1; ++byte) {
    frame.push_back(static_cast<char>((size >> (byte * bits_per_byte)) & 0xffU));
  }
  frame.push_back(static_cast<char>(protocol_version));
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  frame.append(reinterpret_cast<const char*>(out.GetBufferPointer()), size);
  return frame;
}

base::result<std::size_t> decode_header(
    std::span<const std::uint8_t, header_size> header) {
  std::size_t size = 0;
  for (unsigned byte = 0; byte < header_size - 1; ++byte) {
    size |= static_cast<std::size_t>(header[byte]) << (byte * bits_per_byte);
  }
  if (header[header_size - 1] != protocol_version) {
    return protocol_error("unsupported protocol version " +
                          std::to_string(header[header_size - 1]) + "; version " +
                          std::to_string(protocol_version) + " is required");
  }
  if (size > max_body_size) {
    return base::error{base::error_code::too_large, "decode frame", "",
                       std::to_string(size) + " bytes exceed the limit of " +
                           std::to_string(max_body_size) + " bytes"};
  }
  return size;
}

base::result<message> decode_body(std::span<const std::uint8_t> body) {
  // Values are read in place, but a body follows a header of odd size.
  std::vector<std::uint64_t> aligned(body.size() / sizeof(std::uint64_t) + 1);
  std::memcpy(aligned.data(), body.data(), body.size());
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  return decode_aligned_body({bytes, body.size()});
}

}  // namespace ibis::wire
