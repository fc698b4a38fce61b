-- The policy of forwarding boxes unless their settings name another file.
--
-- The operator's configuration gives each customer, or else each route, a
-- priority: 0 is the most urgent. Engines let more urgent requests in first.

local TIERS = {[0] = "critical", "critical", "high", "high", "standard",
               "standard", "standard"}

function classify(request)
  return {tier = TIERS[request.priority] or "background"}
end

-- Halls are used alike; chains stay inside a hall where they can.
function share(pool, halls, hour)
  local weights = {}
  for hall in pairs(halls) do
    weights[hall] = 1
  end
  return weights
end
