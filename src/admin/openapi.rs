//! OpenAPI description of the administration API, generated from the routes and the message types.

use schemars::{
    JsonSchema,
    generate::SchemaSettings, //
};
use serde_json::{
    Map,
    Value,
    json, //
};

use crate::{
    findings,
    profile,
    report,
    wire::{
        admin,
        caller, //
    }, //
};

/// Role that a route requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// None; the route is open to everyone who can reach the port.
    Open,
    /// A token of any role.
    Reader,
    /// A token of the operator role.
    Operator,
}

/// Route of the administration API.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// HTTP method, in lower case.
    pub method: &'static str,
    /// Pattern of the path.
    pub path: &'static str,
    /// Role that the route requires.
    pub access: Access,
    /// Description in one line.
    pub summary: &'static str,
    /// Schema of the request body, if the route takes a body.
    pub body: Option<&'static str>,
    /// Query parameters: name and whether the parameter is required.
    pub query: &'static [(&'static str, bool)],
    /// Schema of the response; `Text` for plain text.
    pub response: &'static str,
}

/// Returns a `GET` route for readers, without a body and query parameters.
const fn get(path: &'static str, response: &'static str, summary: &'static str) -> Route {
    Route {
        method: "get",
        path,
        access: Access::Reader,
        summary,
        body: None,
        query: &[],
        response,
    }
}

/// All routes, sorted by path.
pub const ROUTES: [Route; 13] = [
    Route {
        access: Access::Open,
        ..get("/healthz", "Text", "Whether the process runs.")
    },
    Route {
        access: Access::Open,
        ..get(
            "/metrics",
            "Text",
            "Metrics in the OpenMetrics text format.",
        )
    },
    Route {
        access: Access::Open,
        ..get("/readyz", "Text", "Whether the state is fully loaded.")
    },
    Route {
        query: &[("offset", false)],
        ..get(
            "/v1/instances/in-force",
            "InForce",
            "The number of instances with a change in force, and the instances without it.",
        )
    },
    Route {
        query: &[("since", false)],
        ..get(
            "/v1/outcomes",
            "Outcomes",
            "Outcomes of work by time window, profile and version, with the objectives.",
        )
    },
    get(
        "/v1/profiles",
        "Summaries",
        "All profiles, including withdrawn ones.",
    ),
    Route {
        method: "post",
        body: Some("Body"),
        ..get(
            "/v1/profiles/check",
            "Findings",
            "All findings about a profile.",
        )
    },
    get(
        "/v1/profiles/{name}",
        "Profile",
        "The latest version of a profile and the version in force.",
    ),
    Route {
        method: "put",
        access: Access::Operator,
        body: Some("Publish"),
        ..get("/v1/profiles/{name}", "Published", "Publishes a profile.")
    },
    Route {
        method: "delete",
        access: Access::Operator,
        query: &[("base", true), ("change", true)],
        ..get("/v1/profiles/{name}", "Published", "Withdraws a profile.")
    },
    Route {
        method: "post",
        body: Some("Body"),
        ..get(
            "/v1/profiles/{name}/diff",
            "Diff",
            "The differences between a proposed profile and the latest version.",
        )
    },
    get(
        "/v1/profiles/{name}/history",
        "History",
        "The kept versions, oldest first.",
    ),
    Route {
        method: "post",
        access: Access::Operator,
        body: Some("Rollback"),
        ..get(
            "/v1/profiles/{name}/rollback",
            "Published",
            "Publishes the body of an earlier version again.",
        )
    },
];

/// Refusals: HTTP status, description and the role that a route must require for the refusal to
/// apply.
const REFUSALS: [(&str, &str, Access); 7] = [
    (
        "400",
        "bad_input: the input is invalid; all findings are listed.",
        Access::Open,
    ),
    (
        "401",
        "forbidden: the token is missing or unknown.",
        Access::Reader,
    ),
    (
        "403",
        "forbidden: the token grants read access only.",
        Access::Operator,
    ),
    (
        "404",
        "unknown_profile: the profile is unknown or the version is not kept.",
        Access::Open,
    ),
    (
        "409",
        "conflict: another change came first; duplicate: the change id is in use.",
        Access::Operator,
    ),
    ("500", "internal: an internal error.", Access::Open),
    (
        "503",
        "log_unavailable: the state or the log is unavailable; `ran` tells whether \
        the change may still take effect.",
        Access::Open,
    ),
];

/// Returns the complete OpenAPI document.
#[must_use]
pub fn document() -> Value {
    let mut paths = Map::new();
    for route in &ROUTES {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        path[route.method] = describe_operation(route);
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "bamboolock administration API",
            "version": env!("CARGO_PKG_VERSION"),
        },
        "paths": paths,
        "components": {
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
            "schemas": schemas(),
        },
    })
}

fn describe_operation(route: &Route) -> Value {
    let mut operation = json!({
        "summary": route.summary,
        "parameters": parameters(route),
        "responses": responses(route),
    });
    if route.access != Access::Open {
        operation["security"] = json!([{"token": []}]);
    }
    if let Some(body) = route.body {
        operation["requestBody"] = json!({"required": true, "content": content(body)});
    }
    operation
}

fn parameters(route: &Route) -> Vec<Value> {
    let text = json!({"type": "string"});
    let mut all = Vec::new();
    if route.path.contains("{name}") {
        all.push(json!({"name": "name", "in": "path", "required": true, "schema": text}));
    }
    for (name, required) in route.query {
        all.push(json!({"name": name, "in": "query", "required": required, "schema": text}));
    }
    all
}

fn responses(route: &Route) -> Value {
    let mut responses = json!({
        "200": {"description": route.summary, "content": content(route.response)},
    });
    for (status, text, access) in REFUSALS {
        let applies = match access {
            Access::Open => route.response != "Text" || status == "503",
            Access::Reader => route.access != Access::Open,
            Access::Operator => route.access == Access::Operator,
        };
        if !applies {
            continue;
        }
        let body = match status {
            "409" => "Conflict",
            _ => "Refusal",
        };
        responses[status] = json!({"description": text, "content": content(body)});
    }
    responses
}

fn content(name: &str) -> Value {
    match name {
        "Text" => json!({"text/plain": {"schema": {"type": "string"}}}),
        "Summaries" => list_content("Summary"),
        "History" => list_content("Version"),
        name => json!({"application/json": {"schema": reference(name)}}),
    }
}

fn list_content(name: &str) -> Value {
    json!({"application/json": {"schema": {"type": "array", "items": reference(name)}}})
}

fn reference(name: &str) -> Value {
    json!({"$ref": format!("#/components/schemas/{name}")})
}

fn schemas() -> Map<String, Value> {
    let mut all = Map::new();
    add_schema::<profile::Profile>("Body", &mut all);
    add_schema::<findings::Findings>("Findings", &mut all);
    add_schema::<caller::Refusal>("Refusal", &mut all);
    add_schema::<admin::Conflict>("Conflict", &mut all);
    add_schema::<admin::Diff>("Diff", &mut all);
    add_schema::<report::Input>("Outcomes", &mut all);
    add_schema::<admin::InForce>("InForce", &mut all);
    add_schema::<admin::Profile>("Profile", &mut all);
    add_schema::<admin::Publish>("Publish", &mut all);
    add_schema::<admin::Published>("Published", &mut all);
    add_schema::<admin::Rollback>("Rollback", &mut all);
    add_schema::<admin::Summary>("Summary", &mut all);
    add_schema::<admin::Version>("Version", &mut all);
    all
}

/// Adds the schema of a type with all subschemas inlined.
fn add_schema<T: JsonSchema>(name: &str, all: &mut Map<String, Value>) {
    let settings = SchemaSettings::draft2020_12().with(|s| {
        s.inline_subschemas = true;
        s.meta_schema = None;
    });
    let schema = settings.into_generator().into_root_schema_for::<T>();
    all.insert(name.to_owned(), schema.to_value());
}
