-- The policy of forwarding boxes whose settings name no other file.
--
-- The operator's configuration assigns a priority to each customer, or else to
-- each route; 0 is the most urgent. Engines admit more urgent requests first.

local TIERS = {[0] = "critical", "critical", "high", "high", "standard",
               "standard", "standard"}

function classify(request)
  return {tier = TIERS[request.priority] or "background"}
end

-- All halls have the same weight. Chains stay within a hall if possible.
function share(pool, halls, hour)
  local weights = {}
  for hall in pairs(halls) do
    weights[hall] = 1
  end
  return weights
end
