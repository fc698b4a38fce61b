-- Turbine Watch: wind turbines across northern British Columbia.
--
-- Both teams work in the daytime only. Alarms also arrive at night, when nobody
-- is watching, and their digests must be ready by the morning. In the daytime,
-- technicians in the field and the operations desk have priority.

local DAY = {from = 6, to = 18}

local function daytime(hour)
  return hour >= DAY.from and hour < DAY.to
end

-- Seconds from `hour` to the start of the day shift.
local function until_morning(hour)
  return ((DAY.from - hour) % 24) * 3600
end

function classify(request)
  if request.kind == "alarm" then
    -- In the daytime someone acts on an alarm immediately. At night its digest
    -- is due by the morning: throughput matters rather than latency.
    if daytime(request.hour) then
      return {tier = "critical", deadline = 10, weight = 2}
    end
    return {tier = "background", deadline = until_morning(request.hour),
            group = "night"}
  elseif request.kind == "technician" then
    return {tier = "high", deadline = 20, weight = 2}
  elseif request.kind == "digest" then
    return {tier = "background",
            deadline = daytime(request.hour) and 4 * 3600
                       or until_morning(request.hour),
            group = "night"}
  end
  return {tier = "standard", deadline = 60}
end

-- SCADA lookups may be retried whatever their method. Calls that change work
-- orders or crews may not.
function repeatable(call)
  if call.service == "scada" then return true end
  return call.method == "GET"
end

-- All halls share the nightly backlog in proportion to their capacity. The
-- chain choice already takes load into account, so equal weights fit at any
-- hour.
function share(pool, halls, hour)
  local weights = {}
  for hall in pairs(halls) do weights[hall] = 1 end
  return weights
end
