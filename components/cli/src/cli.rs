//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

/// Operates wrenramp, through any of its daemons.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// A daemon's address for peers and operators
    #[bpaf(long, env("WRENRAMP_DAEMON"), argument("ADDRESS"))]
    pub daemon: SocketAddr,
    /// A file that holds the operator's token; otherwise it is taken from `WRENRAMP_TOKEN`
    #[bpaf(long, argument("FILE"))]
    pub token_file: Option<PathBuf>,
    /// Print JSON
    pub json: bool,
    #[bpaf(external)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Show one value, or all of a node
    #[bpaf(command)]
    Get {
        /// Path of the node, such as group/soils
        #[bpaf(positional("PATH"))]
        path: String,
        /// Key of the value
        #[bpaf(positional("KEY"))]
        key: Option<String>,
    },
    /// Set a value; makes the node when there is none
    #[bpaf(command)]
    Set {
        /// Wait until the version is in force in all daemons
        wait: bool,
        /// Refuse if the newest version is not this one
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// Path of the node
        #[bpaf(positional("PATH"))]
        path: String,
        /// KEY=VALUE, one or more
        #[bpaf(positional("KEY=VALUE"), some("give at least one KEY=VALUE"))]
        values: Vec<String>,
    },
    /// Take a value away, so that the inherited one or the default holds
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
        #[bpaf(external(group_command))]
        step: GroupCommand,
    },
    /// Show what a tree file would change
    #[bpaf(command)]
    Diff {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show accepted changes
    #[bpaf(command)]
    History {
        /// From this version on
        #[bpaf(argument("VERSION"), fallback(0))]
        from: u64,
    },
    /// Make the tree as a file says: all of it in one change
    #[bpaf(command)]
    Apply {
        /// Only check
        dry_run: bool,
        /// Wait until the version is in force in all daemons
        wait: bool,
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show daemons, endpoints, stewards and the versions in force
    #[bpaf(command)]
    Status,
    /// Keep new work from an endpoint; what is under way goes on
    #[bpaf(command)]
    Drain {
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Let an endpoint have work again
    #[bpaf(command)]
    Undrain {
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
    },
    /// Order an engine into a role, by way of its steward
    #[bpaf(command)]
    Role {
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
        /// prefill, decode or mixed
        #[bpaf(positional("ROLE"))]
        role: String,
    },
    /// Order an engine to load a model, by way of its steward
    #[bpaf(command)]
    Load {
        /// The role it should have
        #[bpaf(argument("ROLE"), fallback("mixed".to_owned()))]
        role: String,
        /// The endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(positional("ENDPOINT"))]
        endpoint: String,
        /// The model
        #[bpaf(positional("MODEL"))]
        model: String,
        /// The adapter
        #[bpaf(positional("ADAPTER"))]
        adapter: String,
        /// The version
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Show events of all daemons in one order
    #[bpaf(command)]
    Timeline {
        /// Only those of this request
        #[bpaf(argument("ID"))]
        request: Option<String>,
        /// Only those of this endpoint, as DATA-CENTRE/NUMBER
        #[bpaf(argument("ENDPOINT"))]
        engine: Option<String>,
        /// Only those of this time back, in seconds
        #[bpaf(argument("SECONDS"))]
        since: Option<u64>,
    },
    /// Check a tree file by itself, without a daemon's tree
    #[bpaf(command)]
    Check {
        /// The file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// What to do with a group.
#[derive(Clone, Debug, Bpaf)]
pub enum GroupCommand {
    /// Add a group
    #[bpaf(command)]
    Add {
        /// Its share against its siblings
        #[bpaf(argument("SHARE"), fallback(1))]
        share: u32,
        /// Its path below group/, such as soils/field
        #[bpaf(positional("GROUP"))]
        group: String,
    },
    /// Remove a group
    #[bpaf(command)]
    Remove {
        /// Its path below group/
        #[bpaf(positional("GROUP"))]
        group: String,
    },
}
