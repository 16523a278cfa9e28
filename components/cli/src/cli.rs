//! Command-line options.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Operates wrenramp through any of its daemons.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Address of a daemon for peers and operators
    #[bpaf(long, env("WRENRAMP_DAEMON"), argument("ADDRESS"))]
    pub daemon: SocketAddr,
    /// File that holds the operator's token; without it, `WRENRAMP_TOKEN` is used
    #[bpaf(long, argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// Print JSON
    pub json: bool,
    #[bpaf(external)]
    pub command: Command,
}

/// Commands:
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Show one value, or all values of a node
    #[bpaf(command)]
    Get {
        /// Path of the node, such as group/soils
        #[bpaf(positional("PATH"))]
        path: String,
        /// Key of the value
        #[bpaf(positional("KEY"))]
        key: Option<String>,
    },
    /// Set values; creates the node if it does not exist
    #[bpaf(command)]
    Set {
        /// Wait until the version is in force in all daemons
        wait: bool,
        /// Refuse if this is not the latest version
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// Path of the node
        #[bpaf(positional("PATH"))]
        path: String,
        /// KEY=VALUE, one or more
        #[bpaf(positional("KEY=VALUE"), some("give at least one KEY=VALUE"))]
        values: Vec<String>,
    },
    /// Remove a value, so that the inherited one or the default applies
    #[bpaf(command)]
    Unset {
        /// Path of the node
        #[bpaf(positional("PATH"))]
        path: String,
        /// Key of the value
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Show the whole tree
    #[bpaf(command)]
    Tree,
    /// Add or remove a group
    #[bpaf(command)]
    Group {
        // the command on the group
        #[bpaf(external(group_command))]
        step: GroupCommand,
    },
    /// Show what applying a tree file would change
    #[bpaf(command)]
    Diff {
        /// The tree file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show accepted changes
    #[bpaf(command)]
    History {
        /// Start with this version
        #[bpaf(argument("VERSION"), fallback(0))]
        from: u64,
    },
    /// Make the tree equal to a file, in one change
    #[bpaf(command)]
    Apply {
        /// Only check whether the change would be accepted
        dry_run: bool,
        /// Wait until the version is in force in all daemons
        wait: bool,
        /// The tree file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show daemons, endpoints, stewards and the versions in force
    #[bpaf(command)]
    Status,
    /// Send no new requests to an endpoint; requests in flight continue
    #[bpaf(command)]
    Drain {
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Send requests to a drained endpoint again
    #[bpaf(command)]
    Undrain {
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Order an engine to change its role, through its steward
    #[bpaf(command)]
    Role {
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
        /// prefill, decode or mixed
        #[bpaf(positional("ROLE"))]
        role: String,
    },
    /// Order an engine to load a model, through its steward
    #[bpaf(command)]
    Load {
        /// Role of the engine afterwards
        #[bpaf(argument("ROLE"), fallback("mixed".to_owned()))]
        role: String,
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
        /// Name of the model
        #[bpaf(positional("MODEL"))]
        model: String,
        /// Adapter to load
        #[bpaf(positional("ADAPTER"))]
        adapter: String,
        /// Version of the model
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Show the events of all daemons, merged into one time line
    #[bpaf(command)]
    Timeline {
        /// Only events of this request
        #[bpaf(argument("ID"))]
        request: Option<String>,
        /// Only events of this endpoint, as DATA-CENTRE/NUMBER
        // accepts any endpoint, despite its name
        #[bpaf(argument("ENDPOINT"))]
        engine: Option<String>,
        /// Only events of the last SECONDS seconds
        #[bpaf(argument("SECONDS"))]
        since: Option<u64>,
    },
    /// Check a tree file without contacting a daemon
    #[bpaf(command)]
    Check {
        /// The tree file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Commands on a group.
#[derive(Clone, Debug, Bpaf)]
pub enum GroupCommand {
    /// Add a group
    #[bpaf(command)]
    Add {
        /// Share of the group relative to its siblings
        #[bpaf(argument("SHARE"), fallback(1))]
        share: u32,
        /// Path of the group below group/, such as soils/field
        #[bpaf(positional("GROUP"))]
        group: String,
    },
    /// Remove a group
    #[bpaf(command)]
    Remove {
        /// Path of the group below group/
        #[bpaf(positional("GROUP"))]
        group: String,
    },
}
