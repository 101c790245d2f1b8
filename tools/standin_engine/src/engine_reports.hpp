#pragma once

#include <cstdint>
#include <vector>

#include <json/value.h>

#include <base/error.hpp>
#include <standin_engine/engine_model.hpp>

/// The model's state as the engine's listener shows it.
namespace cuminledge::standin {

/// @return {program: tokens}.
Json::Value cachedPrograms(const engine_model& model);

/// @return {"sequence": number of the last event, "programs": {program: tokens}}.
Json::Value listCache(const engine_model& model);

/// @return the events after that number that can be seen now.
Json::Value listEvents(const engine_model& model, std::uint64_t after, time_point now);

Json::Value reportLoad(const engine_model& model);

/// A cached sequence for another engine, and back.
Json::Value boundariesToJson(const std::vector<boundary>& boundaries);
result<std::vector<boundary>> boundariesFromJson(const Json::Value& list);

} // namespace cuminledge::standin
