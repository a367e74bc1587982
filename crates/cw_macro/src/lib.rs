//! An attribute macro for the derives that most data types of the Cargo workspace share.
//!
//! `#[data]` derives `Clone`, `Debug`, `PartialEq`, `serde::Serialize` and `serde::Deserialize`.
//! Additional derives are listed in parentheses:
//!
//! ```
//! use cw_macro::data;
//!
//! /// A point on a grid.
//! #[data(Copy, Eq, Hash)]
//! struct Point {
//!     x: u32,
//!     y: u32,
//! }
//!
//! let point = Point { x: 1, y: 2 };
//! let copy = point;
//! assert_eq!(point, copy);
//! ```

use proc_macro::TokenStream;

/// Derives the common set of traits and those listed in the arguments.
///
/// # Panics
///
/// Panics at compile time if the arguments are not a list of paths.
#[proc_macro_attribute]
pub fn data(args: TokenStream, item: TokenStream) -> TokenStream {
    let derives = format!(
        "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize, {args})]"
    );
    let mut out: TokenStream = derives
        .parse()
        .expect("the arguments of `data` are paths of derive macros");
    out.extend(item);
    out
}
